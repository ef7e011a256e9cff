#pragma once

#include <map>
#include <mutex>
#include <string>

#include "review/standins/http_service.h"
#include "review/standins/record.h"
#include "review/standins/store.h"

namespace review {

/// An application server. Its entry stands in the store. The last part of a request's path says how
/// long the server works: `/any/thing/w250` takes 250 ms.
class Server : public HttpService {
 public:
  struct Run {
    long began_at = 0;
    /// -1 while the server works, -2 if the connection ended first.
    long ended_at = -1;
  };

  Server(Record& record, Store& store, std::string id, std::string service, std::string zone);
  ~Server() override { this->Stop(); }

  bool StartAt(const Address& own_address);

  /// Writes the entry with this state.
  void Register(const std::string& state);
  /// Takes the entry away.
  void Deregister();

  const std::string& Id() const { return this->id; }

  /// The runs of this server, by id of the request.
  std::map<std::string, Run> Runs();

 private:
  void Serve(HttpConnection& connection) override;
  void RunRequest(HttpConnection& connection,
                  const std::string& request_id,
                  const std::string& target);

  Record& record;
  Store& store;
  const std::string id;
  const std::string service;
  const std::string zone;
  Address address;
  const long born;
  std::mutex runs_mutex;
  std::map<std::string, Run> runs;
};

}  // namespace review
