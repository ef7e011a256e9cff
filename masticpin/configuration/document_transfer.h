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
  /// Bytes of one piece; keeps an envelope far below its bound of 2 MiB and other messages of the
  /// same connection from waiting long.
  std::size_t piece_size = std::size_t{64} << 10;
  /// Wait for one piece before another source is asked. A piece takes a few milliseconds between
  /// zones; 200 ms leave eight tries within the 2 s in which a version has to be in force.
  Duration piece_timeout = std::chrono::milliseconds(200);
  /// Sources remembered for one document.
  std::size_t max_sources = 4;
  /// Timeouts without progress after which a lower version, of another peer, is fetched instead.
  int stall_timeouts = 2;
  /// Timeouts without progress after which the fetch ends; the next digest of a peer starts it
  /// again.
  int max_timeouts = 12;
};

/// Fetches documents from peers and serves them to peers. Not thread-safe.
class DocumentTransfer : public TimerSubscriber {
 public:
  using Settings = DocumentTransferSettings;

  DocumentTransfer(DocumentStore& store,
                   EnvelopeSender& sender,
                   const Clock& clock,
                   TimerService& timers,
                   Settings settings = {});

  /// Fetches a document that `from` holds, unless it is not wanted. A fetch of the same version in
  /// progress gets another source; a fetch of a lower version is replaced. Digest 0 means unknown.
  void Fetch(const wire::DocumentVersion& document, const InstanceId& from);

  /// A peer asks for a piece.
  void OnRequest(const InstanceId& from, const wire::DocumentRequest& request);

  /// A peer sent a piece.
  void OnPiece(const InstanceId& from, const wire::DocumentPiece& piece);

  void OnTimer(TimePoint now) override;

  /// Whether a fetch is in progress.
  bool IsFetching() const { return !this->fetches.empty(); }

  /// Pieces that were refused: wrong size, offset, version or digest.
  std::uint64_t BadPieces() const { return this->bad_pieces; }

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
  std::uint64_t bad_pieces = 0;
};

}  // namespace masticpin
