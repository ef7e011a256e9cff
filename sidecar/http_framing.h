#pragma once

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace masticpin {

/// Result of the check of a request's header.
enum class RequestFraming {
  kValid,
  /// The fields that frame the body or name the host are missing, repeated or contradictory.
  kInvalid,
  /// The body has a transfer coding other than one `chunked`.
  kUnknownCoding,
};

/// Checks the fields of a request that two implementations might read differently (RFC 9112,
/// sections 3.2 and 6): a request whose end is ambiguous could contain another, smuggled request.
RequestFraming CheckRequestFraming(
    const boost::beast::http::header<true, boost::beast::http::fields>& header);

/// Returns whether the end of the response is certain: it has no transfer coding other than one
/// `chunked`, no second way to find its end, and a version that allows the coding. Otherwise a
/// truncated body might look complete.
bool HasValidFraming(const boost::beast::http::header<false, boost::beast::http::fields>& header);

/// A request target in absolute form (RFC 9112, section 3.2.2), split into its parts.
struct AbsoluteTarget {
  std::string authority;
  /// The target in origin form.
  std::string origin_form;
};

/// Returns the parts of a target in absolute form with the scheme `http` or `https`, or
/// std::nullopt for any other target.
std::optional<AbsoluteTarget> ParseAbsoluteTarget(std::string_view target);

}  // namespace masticpin
