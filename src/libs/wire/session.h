// Authenticated session over one connection between two entry VMs; pure, without sockets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "wire/frame.h"
#include "wire/key_ring.h"
#include "wire/messages.h"

namespace mangoroad::wire {

inline constexpr std::uint64_t kProtocolVersion = 1;
/// Largest payload of an envelope; leaves room for its kind in the frame.
inline constexpr std::size_t kMaxPayloadBytes = kMaxBodyBytes - 1024;

/// One side of a connection.
///
/// The initiator sends a hello with its name, the name it wants to reach, a nonce and the name of
/// the key. The acceptor answers with its own hello, whose MAC covers both nonces, and the
/// initiator confirms with an empty envelope. All frames count up from 0 in each direction, and
/// their MAC covers direction, nonces and number, so forged, replayed, reordered and reflected
/// frames are refused. After an error the connection has to be closed.
class Session {
 public:
  /// The initiating side, which wants to reach `peer`.
  static Session Initiate(std::string own_name, std::string peer, const KeyRing& keys,
                          const Nonce& nonce);
  /// The accepting side. Waits for a hello.
  static Session Accept(std::string own_name, const KeyRing& keys, const Nonce& nonce);

  /// Takes received bytes and returns the whole envelopes in them.
  base::Result<std::vector<Envelope>, WireError> Receive(std::string_view bytes);
  /// Queues an envelope. kTooLarge for a payload beyond kMaxPayloadBytes; kBadHandshake while
  /// IsEstablished() is false.
  base::Result<base::Done, WireError> Send(const Envelope& envelope);
  /// Bytes to be sent.
  std::string TakeOutput();

  /// True when the other side has proven that it has the key and is alive now.
  [[nodiscard]] bool IsEstablished() const { return this->state == State::kEstablished; }
  /// Name of the other side; proven once IsEstablished().
  [[nodiscard]] const std::string& PeerName() const { return this->peer_name; }

 private:
  enum class State { kAwaitHello, kAwaitConfirmation, kEstablished, kFailed };

  Session(std::string own_name, const KeyRing& keys, Direction direction);
  void QueueFrame(std::string_view body);
  void QueueHello(std::string_view to);
  base::Result<base::Done, WireError> CheckMac(const Frame& frame);
  base::Result<base::Done, WireError> OnHello(const Frame& frame);
  base::Result<base::Done, WireError> OnFrame(const Frame& frame, std::vector<Envelope>& received);

  std::string name;
  std::string peer_name;
  KeyRing key_ring;
  KeyRing::Key key;
  Direction own_direction;
  Direction peer_direction;
  Nonce initiator_nonce{};
  Nonce acceptor_nonce{};
  std::uint64_t next_sent = 0;
  std::uint64_t next_received = 0;
  State state = State::kAwaitHello;
  FrameReader reader;
  std::string output;
};

}  // namespace mangoroad::wire
