#include "sidecar/unreadable_frame.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

namespace masticpin {
namespace {

using google::protobuf::internal::WireFormatLite;

/// The field `call` of all messages that have one.
constexpr int kCallFieldNumber = wire::ExecutionRequest::kCallFieldNumber;
static_assert(kCallFieldNumber == wire::ExecutionReply::kCallFieldNumber);

}  // namespace

UnreadableFrame IdentifyFrame(std::string_view start,
                              std::size_t bytes,
                              UnreadableFrame::Reason reason) {
  UnreadableFrame frame{reason, bytes};
  google::protobuf::io::CodedInputStream input(reinterpret_cast<const std::uint8_t*>(start.data()),
                                               static_cast<int>(start.size()));
  std::uint32_t length = 0;
  const std::uint32_t tag = input.ReadTag();
  if (WireFormatLite::GetTagWireType(tag) != WireFormatLite::WIRETYPE_LENGTH_DELIMITED ||
      !input.ReadVarint32(&length)) {
    return frame;
  }
  switch (WireFormatLite::GetTagFieldNumber(tag)) {
    case wire::PeerFrame::kRequestFieldNumber:
    case wire::PeerFrame::kOpaqueRequestFieldNumber:
      frame.kind = wire::PeerFrame::kRequest;
      break;
    case wire::PeerFrame::kReplyFieldNumber:
      frame.kind = wire::PeerFrame::kReply;
      break;
    default:
      return frame;
  }
  if (input.ReadTag() !=
          WireFormatLite::MakeTag(kCallFieldNumber, WireFormatLite::WIRETYPE_VARINT) ||
      !input.ReadVarint64(&frame.call)) {
    frame.call = 0;
  }
  return frame;
}

std::string_view ReasonName(UnreadableFrame::Reason reason) {
  switch (reason) {
    case UnreadableFrame::Reason::kTooLarge:
      return "too_large";
    case UnreadableFrame::Reason::kUndecodable:
      return "undecodable";
    case UnreadableFrame::Reason::kNoMemory:
      return "no_memory";
  }
  return "";
}

}  // namespace masticpin
