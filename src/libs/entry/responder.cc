#include "entry/responder.h"

#include <msgpack.hpp>
#include <tuple>
#include <utility>

#include "wire/record_codec.h"

namespace mangoroad::entry {
namespace {

constexpr std::uint32_t kFormatVersion = 1;

using RequestRecord = std::tuple<std::uint32_t, std::uint64_t, std::string, std::string,
                                 std::string, std::vector<net::HttpHeaders::Field>, std::string,
                                 std::int64_t, std::string, std::int64_t>;
using AnswerRecord =
    std::tuple<std::uint32_t, std::uint64_t, std::uint32_t, std::uint8_t, int,
               std::vector<net::HttpHeaders::Field>, std::string, std::uint8_t, std::uint8_t>;

template <typename Record>
std::string Pack(const Record& record) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, record);
  return {buffer.data(), buffer.size()};
}

template <typename Record>
std::optional<Record> Unpack(std::string_view bytes) {
  auto record = wire::UnpackAs<Record>(bytes);
  if (record && std::get<0>(*record) != kFormatVersion) record.reset();
  return record;
}

}  // namespace

HttpResponder::HttpResponder(net::HttpExchangePtr exchange_to_answer)
    : exchange(std::move(exchange_to_answer)) {}

void HttpResponder::Refuse(ErrorKind kind, std::string_view message, Outcome outcome) {
  ReplyError(*this->exchange, kind, message, outcome);
}

void HttpResponder::Start(int status, const net::HttpHeaders& headers) {
  net::HttpHeaders passed;
  for (const auto& [name, value] : headers.Fields()) {
    const bool own = name.starts_with("Mangoroad-") || name.starts_with("mangoroad-");
    if (!own && !net::IsHopByHopHeader(name)) passed.Add(name, value);
  }
  passed.Add(std::string(kOutcomeHeader), std::string(base::NameOf(kOutcomeNames, Outcome::kRan)));
  this->exchange->StartReply(status, passed);
}

void HttpResponder::Body(std::string_view bytes) { this->exchange->SendChunk(bytes); }
void HttpResponder::End() { this->exchange->EndReply(); }
void HttpResponder::Abort() { this->exchange->Abort(); }
std::size_t HttpResponder::UnsentBytes() const { return this->exchange->UnsentBytes(); }

void HttpResponder::OnDrained(std::function<void()> callback) {
  this->exchange->OnDrained(std::move(callback));
}

void HttpResponder::OnClosed(std::function<void()> callback) {
  this->exchange->OnClosed(std::move(callback));
}

std::string EncodeRelayRequest(const RelayRequest& request) {
  return Pack(RequestRecord{kFormatVersion, request.request, request.row, request.method,
                            request.target, request.headers, request.body, request.deadline_us,
                            request.key, request.key_time_ms});
}

std::optional<RelayRequest> DecodeRelayRequest(std::string_view bytes) {
  auto record = Unpack<RequestRecord>(bytes);
  if (!record) return std::nullopt;
  RelayRequest request;
  std::tie(std::ignore, request.request, request.row, request.method, request.target,
           request.headers, request.body, request.deadline_us, request.key, request.key_time_ms) =
      std::move(*record);
  return request;
}

std::string EncodeRelayAnswer(const RelayAnswer& answer) {
  return Pack(AnswerRecord{kFormatVersion, answer.request, answer.sequence,
                           static_cast<std::uint8_t>(answer.part), answer.status, answer.headers,
                           answer.bytes, static_cast<std::uint8_t>(answer.error),
                           static_cast<std::uint8_t>(answer.outcome)});
}

std::optional<RelayAnswer> DecodeRelayAnswer(std::string_view bytes) {
  auto record = Unpack<AnswerRecord>(bytes);
  if (!record) return std::nullopt;
  RelayAnswer answer;
  std::uint8_t part = 0;
  std::uint8_t error = 0;
  std::uint8_t outcome = 0;
  std::tie(std::ignore, answer.request, answer.sequence, part, answer.status, answer.headers,
           answer.bytes, error, outcome) = std::move(*record);
  if (part > static_cast<std::uint8_t>(RelayPart::kAbort) || error >= kErrorKindNames.size() ||
      outcome >= kOutcomeNames.size()) {
    return std::nullopt;
  }
  answer.part = static_cast<RelayPart>(part);
  answer.error = static_cast<ErrorKind>(error);
  answer.outcome = static_cast<Outcome>(outcome);
  return answer;
}

RelayResponder::RelayResponder(std::uint64_t request_number, Send send_frame)
    : request(request_number), send(std::move(send_frame)) {}

void RelayResponder::SendPart(RelayAnswer answer) {
  answer.request = this->request;
  answer.sequence = this->next_sequence++;
  this->send(EncodeRelayAnswer(answer));
}

void RelayResponder::Refuse(ErrorKind kind, std::string_view message, Outcome outcome) {
  RelayAnswer answer;
  answer.part = RelayPart::kRefuse;
  answer.bytes = message;
  answer.error = kind;
  answer.outcome = outcome;
  this->SendPart(std::move(answer));
}

void RelayResponder::Start(int status, const net::HttpHeaders& headers) {
  RelayAnswer answer;
  answer.part = RelayPart::kStart;
  answer.status = status;
  answer.headers = headers.Fields();
  this->SendPart(std::move(answer));
}

void RelayResponder::Body(std::string_view bytes) {
  RelayAnswer answer;
  answer.part = RelayPart::kBody;
  answer.bytes = bytes;
  this->SendPart(std::move(answer));
}

void RelayResponder::End() {
  RelayAnswer answer;
  answer.part = RelayPart::kEnd;
  this->SendPart(std::move(answer));
}

void RelayResponder::Abort() {
  RelayAnswer answer;
  answer.part = RelayPart::kAbort;
  this->SendPart(std::move(answer));
}

}  // namespace mangoroad::entry
