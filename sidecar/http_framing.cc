#include "sidecar/http_framing.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>

namespace masticpin {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;

/// Returns whether the message has exactly one Transfer-Encoding field with the single coding
/// `chunked`. Codings in several fields, or repeated ones, are read differently by other
/// implementations.
bool IsChunkedOnly(const http::fields& fields) {
  return fields.count(http::field::transfer_encoding) == 1 &&
         boost::beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

/// Returns whether there is at most one length, and that is a number. Equal lengths in several
/// fields or in a list are refused too, because nothing legitimate sends them.
bool HasAtMostOneLength(const http::fields& fields) {
  const auto length = fields[http::field::content_length];
  return fields.count(http::field::content_length) <= 1 &&
         std::all_of(length.begin(), length.end(), [](char c) { return c >= '0' && c <= '9'; });
}

bool IsHostCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         std::string_view("-._~%!$&'()*+,;=:[]").find(c) != std::string_view::npos;
}

bool IsValidHost(std::string_view host) {
  return std::all_of(host.begin(), host.end(), IsHostCharacter);
}

}  // namespace

RequestFraming CheckRequestFraming(const http::header<true, http::fields>& header) {
  const bool has_coding = header.count(http::field::transfer_encoding) > 0;
  if (!HasAtMostOneLength(header) ||
      (has_coding &&
       (header.count(http::field::content_length) > 0 || header.version() < kHttp11))) {
    return RequestFraming::kInvalid;
  }
  if (has_coding && !IsChunkedOnly(header)) {
    return RequestFraming::kUnknownCoding;
  }
  const std::size_t hosts = header.count(http::field::host);
  if (hosts > 1 || (hosts == 0 && header.version() >= kHttp11) ||
      !IsValidHost(header[http::field::host])) {
    return RequestFraming::kInvalid;
  }
  return RequestFraming::kValid;
}

bool HasValidFraming(const http::header<false, http::fields>& header) {
  const bool has_coding = header.count(http::field::transfer_encoding) > 0;
  if (!has_coding) {
    return HasAtMostOneLength(header);
  }
  return IsChunkedOnly(header) && header.count(http::field::content_length) == 0 &&
         header.version() >= kHttp11;
}

std::optional<AbsoluteTarget> ParseAbsoluteTarget(std::string_view target) {
  for (const std::string_view scheme :
       {std::string_view("http://"), std::string_view("https://")}) {
    if (!boost::beast::iequals(target.substr(0, scheme.size()), scheme)) {
      continue;
    }
    const std::string_view rest = target.substr(scheme.size());
    const std::size_t end = rest.find_first_of("/?#");
    const std::string_view authority = rest.substr(0, end);
    if (authority.empty() || !IsValidHost(authority)) {
      return std::nullopt;
    }
    std::string origin_form;
    if (end == std::string_view::npos || rest[end] != '/') {
      origin_form.push_back('/');
    }
    if (end != std::string_view::npos) {
      origin_form.append(rest.substr(end));
    }
    return AbsoluteTarget{std::string(authority), std::move(origin_form)};
  }
  return std::nullopt;
}

}  // namespace masticpin
