#include "masticpin/configuration/document_transfer.h"

#include <algorithm>
#include <utility>

namespace masticpin {

namespace {

// Bounds the memory of the fetches in progress to 32 documents of at most 1 MiB each.
constexpr std::size_t kMaxFetches = 32;

}  // namespace

DocumentTransfer::DocumentTransfer(DocumentStore& store,
                                   EnvelopeSender& sender,
                                   const Clock& clock,
                                   TimerService& timers,
                                   Settings settings)
    : store(store), sender(sender), clock(clock), timers(timers), settings(settings) {}

void DocumentTransfer::Fetch(const wire::DocumentVersion& document, const InstanceId& from) {
  if (!this->store.ShouldFetch(document.name(), document.version(), document.digest())) {
    return;
  }
  auto found = this->fetches.find(document.name());
  // A fetch that makes no progress is replaced by one of a lower version, because the only holder
  // of the higher version may be down.
  const bool stalled =
      found != this->fetches.end() && found->second.timeouts >= this->settings.stall_timeouts;
  if (found != this->fetches.end() && found->second.version >= document.version() &&
      !(stalled && found->second.version > document.version())) {
    FetchState& fetch = found->second;
    const bool same_content =
        document.digest() == 0 || fetch.digest == 0 || document.digest() == fetch.digest;
    if (fetch.version == document.version() && same_content &&
        fetch.sources.size() < this->settings.max_sources &&
        std::find(fetch.sources.begin(), fetch.sources.end(), from) == fetch.sources.end()) {
      fetch.sources.push_back(from);
    }
    return;
  }
  if (found == this->fetches.end() && this->fetches.size() >= kMaxFetches) {
    return;
  }
  FetchState fetch;
  fetch.version = document.version();
  fetch.digest = document.digest();
  fetch.sources.push_back(from);
  FetchState& started = this->fetches[document.name()] = std::move(fetch);
  this->Request(document.name(), started);
  this->ScheduleTimer();
}

void DocumentTransfer::Request(const std::string& name, FetchState& fetch) {
  wire::Envelope envelope;
  wire::DocumentRequest& request = *envelope.mutable_document_request();
  request.set_name(name);
  request.set_version(fetch.version);
  request.set_offset(fetch.bytes.size());
  fetch.deadline = this->clock.Now() + this->settings.piece_timeout;
  this->sender.Send(fetch.sources[fetch.source_index], std::move(envelope));
}

void DocumentTransfer::OnRequest(const InstanceId& from, const wire::DocumentRequest& request) {
  const Document* document = this->store.Find(request.name());
  if (document == nullptr || document->version < request.version() ||
      request.offset() > document->bytes->size()) {
    return;
  }
  // A version above the requested one is sent from offset 0; the peer then switches to it.
  const std::uint64_t offset = document->version == request.version() ? request.offset() : 0;
  wire::Envelope envelope;
  wire::DocumentPiece& piece = *envelope.mutable_document_piece();
  piece.mutable_document()->set_name(document->name);
  piece.mutable_document()->set_version(document->version);
  piece.mutable_document()->set_digest(document->digest);
  piece.set_offset(offset);
  piece.set_total_size(document->bytes->size());
  piece.set_data(document->bytes->substr(offset, this->settings.piece_size));
  this->sender.Send(from, std::move(envelope));
}

void DocumentTransfer::OnPiece(const InstanceId& from, const wire::DocumentPiece& piece) {
  const std::string& name = piece.document().name();
  auto found = this->fetches.find(name);
  if (found == this->fetches.end()) {
    return;
  }
  if (piece.document().version() > found->second.version) {
    // The source has a higher version by now.
    this->Fetch(piece.document(), from);
    return;
  }
  FetchState& fetch = found->second;
  if (!this->AppendPiece(fetch, from, piece)) {
    return;
  }
  if (fetch.bytes.size() == fetch.total_size) {
    this->Finish(name, from);
  } else {
    this->Request(name, fetch);
  }
  this->ScheduleTimer();
}

bool DocumentTransfer::AppendPiece(FetchState& fetch,
                                   const InstanceId& from,
                                   const wire::DocumentPiece& piece) {
  const bool known_source =
      std::find(fetch.sources.begin(), fetch.sources.end(), from) != fetch.sources.end();
  if (!known_source || piece.document().version() != fetch.version ||
      (fetch.digest != 0 && piece.document().digest() != fetch.digest)) {
    ++this->rejected_pieces;
    return false;
  }
  if (piece.offset() != fetch.bytes.size()) {
    // A duplicate, caused by a retry after a timeout or by the network.
    return false;
  }
  const std::uint64_t end = piece.offset() + piece.data().size();
  const bool size_differs = !fetch.bytes.empty() && piece.total_size() != fetch.total_size;
  if (piece.total_size() > kMaxDocumentSize || size_differs || end > piece.total_size() ||
      (piece.data().empty() && piece.total_size() != 0)) {
    ++this->rejected_pieces;
    return false;
  }
  fetch.digest = piece.document().digest();
  fetch.total_size = piece.total_size();
  fetch.bytes += piece.data();
  fetch.timeouts = 0;
  return true;
}

void DocumentTransfer::Finish(const std::string& name, const InstanceId& from) {
  FetchState& fetch = this->fetches.find(name)->second;
  if (ComputeDigest(fetch.bytes) != fetch.digest) {
    ++this->rejected_pieces;
    fetch.bytes.clear();
    this->UseNextSource(name);
    return;
  }
  // The fetch is erased before the offer, because the listeners of the store may start another
  // fetch.
  const std::string document_name = name;
  const std::uint64_t version = fetch.version;
  std::string bytes = std::move(fetch.bytes);
  this->fetches.erase(document_name);
  this->store.Offer(document_name, version, std::move(bytes),
                    DocumentSource{DocumentSourceKind::kPeer, from.name});
}

void DocumentTransfer::UseNextSource(const std::string& name) {
  const auto found = this->fetches.find(name);
  FetchState& fetch = found->second;
  if (++fetch.timeouts > this->settings.max_timeouts) {
    this->fetches.erase(found);
    return;
  }
  fetch.source_index = (fetch.source_index + 1) % fetch.sources.size();
  this->Request(name, fetch);
}

void DocumentTransfer::OnTimer(TimePoint now) {
  std::vector<std::string> expired;
  for (const auto& [name, fetch] : this->fetches) {
    if (fetch.deadline <= now) {
      expired.push_back(name);
    }
  }
  for (const std::string& name : expired) {
    this->UseNextSource(name);
  }
  this->ScheduleTimer();
}

void DocumentTransfer::ScheduleTimer() {
  if (this->fetches.empty()) {
    this->timers.Cancel(*this);
    return;
  }
  TimePoint due = TimePoint::max();
  for (const auto& [name, fetch] : this->fetches) {
    due = std::min(due, fetch.deadline);
  }
  this->timers.Schedule(*this, due);
}

}  // namespace masticpin
