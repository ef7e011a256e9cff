#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "masticpin/base/clock.h"
#include "masticpin/base/timer_service.h"
#include "masticpin/configuration/configuration.pb.h"
#include "masticpin/configuration/document_store.h"
#include "masticpin/wire/envelope_sender.h"

namespace masticpin {

struct DocumentTransferSettings {
  /// Size of one piece in bytes. It keeps an envelope far below its limit of 2 MiB and bounds how
  /// long other messages on the same connection wait.
  std::size_t piece_size = std::size_t{64} << 10;
  /// Time after which an outstanding piece is requested from another source. A piece takes a few
  /// milliseconds between zones; 200 ms leave time for eight requests within the 2 s in which a
  /// version has to become current.
  Duration piece_timeout = std::chrono::milliseconds(200);
  /// Maximum number of sources stored for one document.
  std::size_t max_sources = 4;
  /// Consecutive timeouts after which a lower version announced by a peer is fetched instead.
  int stall_timeouts = 2;
  /// Maximum number of consecutive timeouts of a fetch; one more ends it, and the next digest from
  /// a peer starts it again.
  int max_timeouts = 12;
};

/// Fetches documents from peers in pieces, and serves documents to peers. Not thread-safe.
class DocumentTransfer : public TimerSubscriber {
 public:
  using Settings = DocumentTransferSettings;

  DocumentTransfer(DocumentStore& store,
                   EnvelopeSender& sender,
                   const Clock& clock,
                   TimerService& timers,
                   Settings settings = {});

  /// Fetches a document that `from` holds, if DocumentStore::ShouldFetch() approves it. If a fetch
  /// of the same version is in progress, `from` is added as a source; a fetch of a lower version is
  /// replaced. A digest of 0 means that it is unknown.
  void Fetch(const wire::DocumentVersion& document, const InstanceId& from);

  /// Called when a peer requests a piece.
  void OnRequest(const InstanceId& from, const wire::DocumentRequest& request);

  /// Called when a peer has sent a piece.
  void OnPiece(const InstanceId& from, const wire::DocumentPiece& piece);

  void OnTimer(TimePoint now) override;

  /// Whether a fetch is in progress.
  bool IsFetching() const { return !this->fetches.empty(); }

  /// Number of rejected pieces: wrong size, version, digest or sender.
  std::uint64_t RejectedPieces() const { return this->rejected_pieces; }

 private:
  struct FetchState {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    std::uint64_t total_size = 0;
    std::vector<InstanceId> sources;
    std::size_t source_index = 0;
    std::string bytes;
    TimePoint deadline{};
    int timeouts = 0;
  };

  void Request(const std::string& name, FetchState& fetch);
  bool AppendPiece(FetchState& fetch, const InstanceId& from, const wire::DocumentPiece& piece);
  void Finish(const std::string& name, const InstanceId& from);
  void UseNextSource(const std::string& name);
  void ScheduleTimer();

  DocumentStore& store;
  EnvelopeSender& sender;
  const Clock& clock;
  TimerService& timers;
  const Settings settings;
  std::map<std::string, FetchState> fetches;
  std::uint64_t rejected_pieces = 0;
};

}  // namespace masticpin
