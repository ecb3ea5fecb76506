// Links between entry VMs over TCP: one outgoing connection to each peer, and those that peers
// open.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "settings/settings.h"
#include "wire/key_ring.h"
#include "wire/messages.h"

struct event_base;

namespace mangoroad::net {

struct PeerLinkSettings {
  std::string name;
  settings::Endpoint listen;
  struct Peer {
    std::string name;
    settings::Endpoint endpoint;
    /// Added to everything sent to this peer; emulates distance.
    base::Duration send_delay{};
  };
  std::vector<Peer> peers;
  /// Kinds that a full queue drops first, e.g. `gossip`, since a newer message replaces them.
  std::set<std::string, std::less<>> soft_kinds;
  /// Bytes waiting for one peer, those of the socket's own buffer not counted.
  std::size_t max_queue_bytes = 16U << 20U;
  /// A connection is probed when this long has passed since the last probe.
  base::Duration probe_every = std::chrono::milliseconds(300);
  /// A connection from which nothing has come for this long is replaced. Over links with loss, a
  /// retransmission takes 200 ms and its repetition 400 ms more.
  base::Duration silence_limit = std::chrono::milliseconds(1500);
  base::Duration connect_timeout = std::chrono::milliseconds(1000);
  /// Delay before the first new attempt; doubled at each failure up to the longest, and jittered by
  /// half of it, so that restarted VMs don't reconnect at the same moment.
  base::Duration shortest_backoff = std::chrono::milliseconds(50);
  base::Duration longest_backoff = std::chrono::milliseconds(1000);
  /// Accepts peers that aren't listed when their name is the address on which they listen, and
  /// opens a link back to them.
  bool accept_unknown = false;
  std::uint64_t seed = 1;
};

enum class SendResult {
  /// The message is queued. It may still be lost; on_dropped tells when that is known.
  kQueued,
  kUnknownPeer,
  kNotConnected,
  kQueueFull,
  kTooLarge,
};

enum class PeerLinkErrorKind { kCannotListen };
using PeerLinkError = base::BasicError<PeerLinkErrorKind>;

/// Callbacks; each may call Send() and Replace(), none may destroy the links.
struct PeerLinkCallbacks {
  std::function<void(const std::string& peer, wire::Envelope envelope)> on_envelope;
  /// The outgoing connection is established, or has ended.
  std::function<void(const std::string& peer, bool is_connected)> on_state;
  /// A queued message was dropped before any byte of it was handed to the socket.
  std::function<void(const std::string& peer, const std::string& kind)> on_dropped;
};

/// What happened on the links since the start.
struct PeerLinkCounts {
  std::uint64_t connected = 0;
  std::uint64_t replaced_silent = 0;
  std::uint64_t refused_frames = 0;
  std::uint64_t dropped = 0;
};

/// Links of one entry VM. Messages to a peer keep their order within one connection.
class PeerLinks {
 public:
  /// Uses `base` until destroyed. Connecting begins at once.
  PeerLinks(event_base* base, PeerLinkSettings settings, wire::KeyRing keys,
            PeerLinkCallbacks callbacks);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// Accepts connections of peers.
  base::Result<base::Done, PeerLinkError> Listen();
  /// Adds a peer to connect to; no effect when its name is known.
  void AddPeer(const PeerLinkSettings::Peer& peer);
  SendResult Send(std::string_view peer, wire::Envelope envelope);
  /// Closes the outgoing connection to the peer and opens another one.
  void Replace(std::string_view peer);
  [[nodiscard]] bool IsConnected(std::string_view peer) const;
  [[nodiscard]] const PeerLinkCounts& Counts() const;

 private:
  struct Private;
  std::unique_ptr<Private> d;
};

}  // namespace mangoroad::net
