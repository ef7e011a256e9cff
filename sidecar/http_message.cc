#include "sidecar/http_message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

namespace masticpin {
namespace {

/// Hop-by-hop fields (RFC 9110, section 7.6.1), the fields that frame the body, which the sender of
/// each hop writes itself, and Expect, which this hop has already handled.
constexpr std::array<std::string_view, 10> kHopByHopFields = {
    "Connection", "Keep-Alive", "Proxy-Connection",  "Proxy-Authenticate", "TE",
    "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length",     "Expect"};

bool Contains(const auto& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(),
                     [&](std::string_view other) { return boost::beast::iequals(other, name); });
}

}  // namespace

HttpFields::HttpFields(const boost::beast::http::fields& fields) {
  for (const auto& field : fields) {
    this->fields.push_back(HttpField{std::string(field.name_string()), std::string(field.value())});
  }
}

std::string_view HttpFields::Find(std::string_view name) const {
  for (const HttpField& field : this->fields) {
    if (boost::beast::iequals(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

std::size_t HttpFields::Count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      this->fields.begin(), this->fields.end(),
      [&](const HttpField& field) { return boost::beast::iequals(field.name, name); }));
}

void HttpFields::Set(std::string_view name, std::string_view value) {
  for (HttpField& field : this->fields) {
    if (boost::beast::iequals(field.name, name)) {
      field.value = std::string(value);
      return;
    }
  }
  this->fields.push_back(HttpField{std::string(name), std::string(value)});
}

void HttpFields::AppendEndToEndLines(const std::vector<std::string_view>& excluded,
                                     std::string& lines) const {
  for (const HttpField& field : this->fields) {
    if (this->IsEndToEnd(field.name) && !Contains(excluded, field.name)) {
      lines.append(field.name).append(": ").append(field.value).append("\r\n");
    }
  }
}

bool HttpFields::IsEndToEnd(std::string_view name) const {
  return !Contains(kHopByHopFields, name) && !this->IsListedInConnectionField(name);
}

bool HttpFields::IsListedInConnectionField(std::string_view name) const {
  for (const HttpField& field : this->fields) {
    if (!boost::beast::iequals(field.name, "Connection")) {
      continue;
    }
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      std::string_view token = rest.substr(0, comma);
      while (!token.empty() && (token.front() == ' ' || token.front() == '\t')) {
        token.remove_prefix(1);
      }
      while (!token.empty() && (token.back() == ' ' || token.back() == '\t')) {
        token.remove_suffix(1);
      }
      if (boost::beast::iequals(token, name)) {
        return true;
      }
      rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
  }
  return false;
}

}  // namespace masticpin
