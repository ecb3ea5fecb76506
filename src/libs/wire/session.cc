#include "wire/session.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace mangoroad::wire {
namespace {

using base::Done;
using base::Result;

// Kind of the initiator's confirmation; never handed to the user of the session.
constexpr std::string_view kConfirmKind = "_confirm";

WireError BadHandshake(std::string message) {
  return {WireErrorKind::kBadHandshake, std::move(message)};
}

}  // namespace

Session::Session(std::string own_name, const KeyRing& keys, Direction direction)
    : name(std::move(own_name)),
      key_ring(keys),
      key(keys.Active()),
      own_direction(direction),
      peer_direction(direction == Direction::kFromInitiator ? Direction::kFromAcceptor
                                                            : Direction::kFromInitiator) {}

Session Session::Initiate(std::string own_name, std::string peer, const KeyRing& keys,
                          const Nonce& nonce) {
  Session session(std::move(own_name), keys, Direction::kFromInitiator);
  session.peer_name = std::move(peer);
  session.initiator_nonce = nonce;
  session.QueueHello(session.peer_name);
  return session;
}

Session Session::Accept(std::string own_name, const KeyRing& keys, const Nonce& nonce) {
  Session session(std::move(own_name), keys, Direction::kFromAcceptor);
  session.acceptor_nonce = nonce;
  return session;
}

void Session::QueueFrame(std::string_view body) {
  const Mac mac = ComputeMac(
      this->key.secret,
      {this->own_direction, this->initiator_nonce, this->acceptor_nonce, this->next_sent}, body);
  this->next_sent += 1;
  this->output += WriteFrame(body, mac);
}

void Session::QueueHello(std::string_view to) {
  const Nonce& nonce = this->own_direction == Direction::kFromInitiator ? this->initiator_nonce
                                                                        : this->acceptor_nonce;
  Writer writer;
  writer.Array(5)
      .Unsigned(kProtocolVersion)
      .Text(this->name)
      .Text(to)
      .Text(this->key.name)
      .Bytes(std::string_view(reinterpret_cast<const char*>(nonce.data()), nonce.size()));
  this->QueueFrame(writer.Take());
}

Result<Done, WireError> Session::CheckMac(const Frame& frame) {
  const Mac expected = ComputeMac(
      this->key.secret,
      {this->peer_direction, this->initiator_nonce, this->acceptor_nonce, this->next_received},
      frame.body);
  if (!IsSameMac(expected, frame.mac)) {
    return WireError{WireErrorKind::kBadMac, fmt::format("frame {} from '{}' isn't authentic",
                                                         this->next_received, this->peer_name)};
  }
  this->next_received += 1;
  return Done{};
}

Result<Done, WireError> Session::OnHello(const Frame& frame) {
  Reader hello(frame.body);
  hello.Array(16);
  const std::uint64_t version = hello.Unsigned();
  if (hello.IsValid() && version != kProtocolVersion) {
    return WireError{WireErrorKind::kBadVersion,
                     fmt::format("protocol version {} is not {}", version, kProtocolVersion)};
  }
  const std::string from = hello.Text();
  const std::string to = hello.Text();
  const std::string key_name = hello.Text();
  const std::string nonce = hello.Bytes();
  if (!hello.IsComplete() || nonce.size() != kNonceBytes) {
    return BadHandshake("the hello is malformed");
  }
  if (to != this->name) {
    return BadHandshake(
        fmt::format("'{}' wants to reach '{}', this is '{}'", from, to, this->name));
  }
  const bool is_acceptor = this->own_direction == Direction::kFromAcceptor;
  if (is_acceptor) {
    const auto secret = this->key_ring.Find(key_name);
    if (!secret) {
      return WireError{WireErrorKind::kUnknownKey,
                       fmt::format("'{}' uses the unknown key '{}'", from, key_name)};
    }
    this->key = {key_name, *secret};
    this->peer_name = from;
    std::ranges::copy(nonce, this->initiator_nonce.begin());
    // The initiator doesn't know the acceptor's nonce yet, so its hello is checked without it.
    const Nonce own = std::exchange(this->acceptor_nonce, Nonce{});
    auto checked = this->CheckMac(frame);
    this->acceptor_nonce = own;
    if (!base::Ok(checked)) return checked;
    this->QueueHello(from);
    this->state = State::kAwaitConfirmation;
    return Done{};
  }
  if (from != this->peer_name) {
    return BadHandshake(fmt::format("'{}' answered, not '{}'", from, this->peer_name));
  }
  std::ranges::copy(nonce, this->acceptor_nonce.begin());
  auto checked = this->CheckMac(frame);
  if (!base::Ok(checked)) return checked;
  this->state = State::kEstablished;
  this->QueueFrame(Encode({std::string(kConfirmKind), ""}));
  return Done{};
}

Result<Done, WireError> Session::OnFrame(const Frame& frame, std::vector<Envelope>& received) {
  if (this->state == State::kAwaitHello) return this->OnHello(frame);
  auto checked = this->CheckMac(frame);
  if (!base::Ok(checked)) return checked;
  auto envelope = DecodeEnvelope(frame.body);
  if (!base::Ok(envelope)) return base::ErrorOf(envelope);
  const bool is_confirmation = base::ValueOf(envelope).kind == kConfirmKind;
  if (is_confirmation != (this->state == State::kAwaitConfirmation)) {
    return BadHandshake(fmt::format("unexpected envelope from '{}'", this->peer_name));
  }
  if (is_confirmation) {
    this->state = State::kEstablished;
  } else {
    received.push_back(std::move(base::ValueOf(envelope)));
  }
  return Done{};
}

Result<std::vector<Envelope>, WireError> Session::Receive(std::string_view bytes) {
  std::vector<Envelope> received;
  if (this->state == State::kFailed) return BadHandshake("the session has failed");
  this->reader.Append(bytes);
  for (;;) {
    auto frame = this->reader.Next();
    if (!base::Ok(frame)) {
      this->state = State::kFailed;
      return base::ErrorOf(frame);
    }
    if (!base::ValueOf(frame)) return received;
    auto handled = this->OnFrame(*base::ValueOf(frame), received);
    if (!base::Ok(handled)) {
      this->state = State::kFailed;
      return base::ErrorOf(handled);
    }
  }
}

Result<Done, WireError> Session::Send(const Envelope& envelope) {
  if (!this->IsEstablished()) return BadHandshake("the session isn't established");
  if (envelope.payload.size() > kMaxPayloadBytes) {
    return WireError{
        WireErrorKind::kTooLarge,
        fmt::format("payload of {} bytes exceeds {}", envelope.payload.size(), kMaxPayloadBytes)};
  }
  this->QueueFrame(Encode(envelope));
  return Done{};
}

std::string Session::TakeOutput() { return std::exchange(this->output, {}); }

}  // namespace mangoroad::wire
