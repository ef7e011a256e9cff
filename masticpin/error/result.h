#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <utility>

#include "masticpin/error/error_kind.h"

namespace masticpin {

/// A value or an error. The error objects are an ErrorKind and, where it helps, an ErrorDetail.
template <typename T>
using Result = boost::leaf::result<T>;

/// Text for logs and operators; never part of a decision.
struct ErrorDetail {
  std::string text;
};

/// Makes an error of `kind`.
inline boost::leaf::error_id MakeError(ErrorKind kind) {
  return boost::leaf::new_error(kind);
}

/// Makes an error of `kind` with a detail.
inline boost::leaf::error_id MakeError(ErrorKind kind, std::string detail) {
  return boost::leaf::new_error(kind, ErrorDetail{std::move(detail)});
}

}  // namespace masticpin
