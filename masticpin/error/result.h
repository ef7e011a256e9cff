#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <utility>

#include "masticpin/error/error_kind.h"

namespace masticpin {

/// A value or an error. An error consists of an ErrorKind and, where it helps, an ErrorDetail.
template <typename T>
using Result = boost::leaf::result<T>;

/// Text for logs and operators; never used in a decision.
struct ErrorDetail {
  std::string text;
};

/// Creates an error of `kind`.
inline boost::leaf::error_id MakeError(ErrorKind kind) {
  return boost::leaf::new_error(kind);
}

/// Creates an error of `kind` with a detail.
inline boost::leaf::error_id MakeError(ErrorKind kind, std::string detail) {
  return boost::leaf::new_error(kind, ErrorDetail{std::move(detail)});
}

}  // namespace masticpin
