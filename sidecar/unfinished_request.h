#pragma once

#include <boost/intrusive/list.hpp>

namespace masticpin {

/// A request without an answer, in the router's list of them.
class UnfinishedRequest : public boost::intrusive::list_base_hook<
                              boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  virtual ~UnfinishedRequest() = default;

  /// Logs that the exit of the process cuts off the request.
  virtual void LogCut() const = 0;
};

}  // namespace masticpin
