// Where the answer to a live request goes: a caller's connection, or the entry VM that relayed the
// request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry/answers.h"
#include "net/http_server.h"

namespace mangoroad::entry {

/// Receiver of one answer. An answer is either one Refuse, or Start, Body..., and End or Abort.
class Responder {
 public:
  virtual ~Responder() = default;
  virtual void Refuse(ErrorKind kind, std::string_view message, Outcome outcome) = 0;
  /// Status and headers of the target; the outcome is `ran`.
  virtual void Start(int status, const net::HttpHeaders& headers) = 0;
  virtual void Body(std::string_view bytes) = 0;
  virtual void End() = 0;
  /// The answer can't be completed; the receiver must see that it is truncated.
  virtual void Abort() = 0;
  /// Bytes that wait for the receiver, for backpressure.
  [[nodiscard]] virtual std::size_t UnsentBytes() const = 0;
  /// `callback` runs whenever waiting bytes have left.
  virtual void OnDrained(std::function<void()> callback) = 0;
  /// `callback` runs once if the receiver goes away before the end.
  virtual void OnClosed(std::function<void()> callback) = 0;
};

/// Answers a caller over HTTP.
class HttpResponder : public Responder {
 public:
  explicit HttpResponder(net::HttpExchangePtr exchange_to_answer);

  void Refuse(ErrorKind kind, std::string_view message, Outcome outcome) override;
  void Start(int status, const net::HttpHeaders& headers) override;
  void Body(std::string_view bytes) override;
  void End() override;
  void Abort() override;
  [[nodiscard]] std::size_t UnsentBytes() const override;
  void OnDrained(std::function<void()> callback) override;
  void OnClosed(std::function<void()> callback) override;

 private:
  net::HttpExchangePtr exchange;
};

/// Part of an answer that travels between entry VMs, in this order: kStart, kBody..., kEnd or
/// kAbort; or one kRefuse.
enum class RelayPart : std::uint8_t { kRefuse, kStart, kBody, kEnd, kAbort };

/// One frame of a relayed answer.
struct RelayAnswer {
  std::uint64_t request = 0;   // number that the relaying entry VM gave the request
  std::uint32_t sequence = 0;  // number of the part, from 0 without gaps
  RelayPart part = RelayPart::kAbort;
  int status = 0;                                  // kStart
  std::vector<net::HttpHeaders::Field> headers{};  // kStart
  std::string bytes{};                             // kBody; the message of kRefuse
  ErrorKind error = ErrorKind::kBadRequest;        // kRefuse
  Outcome outcome = Outcome::kUnknown;             // kRefuse
};

/// A live request on its way to another entry VM.
struct RelayRequest {
  std::uint64_t request = 0;
  std::string row;
  std::string method;
  std::string target;  // path with query
  std::vector<net::HttpHeaders::Field> headers{};
  std::string body{};
  std::int64_t deadline_us = 0;  // time left when it was sent, link delay subtracted
  std::string key{};
  std::int64_t key_time_ms = 0;
};

std::string EncodeRelayRequest(const RelayRequest& request);
std::optional<RelayRequest> DecodeRelayRequest(std::string_view bytes);
std::string EncodeRelayAnswer(const RelayAnswer& answer);
std::optional<RelayAnswer> DecodeRelayAnswer(std::string_view bytes);

/// Answers the entry VM that relayed the request.
class RelayResponder : public Responder {
 public:
  using Send = std::function<void(std::string frame)>;

  RelayResponder(std::uint64_t request_number, Send send_frame);

  void Refuse(ErrorKind kind, std::string_view message, Outcome outcome) override;
  void Start(int status, const net::HttpHeaders& headers) override;
  void Body(std::string_view bytes) override;
  void End() override;
  void Abort() override;
  [[nodiscard]] std::size_t UnsentBytes() const override { return 0; }
  void OnDrained(std::function<void()> /*callback*/) override {}
  void OnClosed(std::function<void()> /*callback*/) override {}

 private:
  void SendPart(RelayAnswer answer);

  std::uint64_t request = 0;
  std::uint32_t next_sequence = 0;
  Send send;
};

}  // namespace mangoroad::entry
