#pragma once

#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "sidecar/http_field.h"

namespace masticpin {

/// The header fields of a message, in the order in which they were received.
class HttpFields {
 public:
  HttpFields() = default;
  explicit HttpFields(const boost::beast::http::fields& fields);

  /// Returns the value of the first field with this name, or an empty view.
  std::string_view Find(std::string_view name) const;

  /// Number of fields with this name.
  std::size_t Count(std::string_view name) const;

  /// Calls `visit` with the name and the value of each end-to-end field.
  template <typename Visitor>
  void ForEachEndToEnd(const Visitor& visit) const {
    for (const HttpField& field : this->fields) {
      if (this->IsEndToEnd(field.name)) {
        visit(field.name, field.value);
      }
    }
  }

  /// Replaces the value of the first field with this name, or appends the field.
  void Set(std::string_view name, std::string_view value);

  /// Appends all end-to-end fields as lines that end with CR LF. Omits the hop-by-hop fields, those
  /// that frame the body, those listed in `Connection`, and those in `excluded`.
  void AppendEndToEndLines(const std::vector<std::string_view>& excluded, std::string& lines) const;

 private:
  bool IsEndToEnd(std::string_view name) const;
  bool IsListedInConnectionField(std::string_view name) const;

  std::vector<HttpField> fields;
};

/// A complete request of a caller, without its body.
struct HttpRequest {
  std::string method;
  /// Exactly as received.
  std::string target;
  HttpFields fields;
  /// Whether the connection may be used for another request.
  bool keep_alive = true;
};

/// A complete response of a server.
struct HttpResponse {
  int status = 0;
  std::string reason;
  HttpFields fields;
  std::string body;
  /// Whether the connection may be used for another request.
  bool keep_alive = true;
};

}  // namespace masticpin
