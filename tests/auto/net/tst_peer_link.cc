#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/connection.h"
#include "net/peer_link.h"

namespace mangoroad::net {
namespace {

using std::chrono::milliseconds;

struct LoopFreer {
  void operator()(event_base* loop) const { event_base_free(loop); }
};

// A port that was free a moment ago, and a listening socket that never answers when wanted.
struct Port {
  explicit Port(bool is_held) {
    this->socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(bind(this->socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(getsockname(this->socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    this->endpoint = {"127.0.0.1", ntohs(address.sin_port)};
    if (is_held) {
      REQUIRE(listen(this->socket, 16) == 0);
    } else {
      this->Release();
    }
  }
  ~Port() { this->Release(); }
  Port(const Port&) = delete;
  Port& operator=(const Port&) = delete;
  void Release() {
    if (this->socket >= 0) close(this->socket);
    this->socket = -1;
  }

  int socket = -1;
  settings::Endpoint endpoint;
};

wire::KeyRing Keys(char digit) {
  return base::ValueOf(wire::KeyRing::Parse("a " + std::string(64, digit)));
}

struct Vm {
  Vm(event_base* loop, PeerLinkSettings settings, char key = 'a') {
    PeerLinkCallbacks callbacks;
    callbacks.on_envelope = [this](const std::string& peer, const wire::Envelope& envelope) {
      this->received.push_back(peer + ":" + envelope.payload.substr(0, 8));
    };
    callbacks.on_state = [this](const std::string&, bool is_connected) {
      this->states.push_back(is_connected);
    };
    callbacks.on_dropped = [this](const std::string&, const std::string& kind) {
      this->dropped[kind] += 1;
    };
    settings.soft_kinds = {"gossip"};
    this->links = std::make_unique<PeerLinks>(loop, settings, Keys(key), callbacks);
  }

  std::vector<std::string> received;
  std::vector<bool> states;
  std::map<std::string, int> dropped;
  std::unique_ptr<PeerLinks> links;
};

class Network {
 public:
  // Runs the loop until the condition holds. The bound only ends a test that has failed.
  bool Until(const std::function<bool()>& condition) {
    const base::TimePoint end = internal::MonotonicNow() + std::chrono::seconds(30);
    while (!condition()) {
      if (internal::MonotonicNow() > end) return false;
      event_base_loop(this->loop.get(), EVLOOP_ONCE);
    }
    return true;
  }
  static PeerLinkSettings Settings(const std::string& name, const Port& own,
                                   const std::string& peer, const Port& other) {
    PeerLinkSettings settings;
    settings.name = name;
    settings.listen = own.endpoint;
    settings.peers = {{peer, other.endpoint, {}}};
    return settings;
  }

  std::unique_ptr<event_base, LoopFreer> loop{event_base_new()};
  Port port1{false};
  Port port2{false};
};

// Guards against frames that are lost, cut or reordered on a healthy link.
TEST_CASE("envelopes go both ways in order") {
  Network net;
  Vm vm1(net.loop.get(), Network::Settings("vm1", net.port1, "vm2", net.port2));
  Vm vm2(net.loop.get(), Network::Settings("vm2", net.port2, "vm1", net.port1));
  CHECK(vm1.links->Send("vm2", {"raft", "early"}) == SendResult::kNotConnected);
  CHECK(vm1.links->Send("vm9", {"raft", ""}) == SendResult::kUnknownPeer);
  REQUIRE(base::Ok(vm1.links->Listen()));
  REQUIRE(base::Ok(vm2.links->Listen()));
  REQUIRE(
      net.Until([&] { return vm1.links->IsConnected("vm2") && vm2.links->IsConnected("vm1"); }));
  std::vector<std::string> expected;
  for (int i = 0; i < 200; ++i) {
    const std::string payload = std::to_string(i) + std::string(i % 7 == 0 ? 100'000 : 5, ' ');
    REQUIRE(vm1.links->Send("vm2", {"raft", payload}) == SendResult::kQueued);
    expected.push_back("vm1:" + payload.substr(0, 8));
  }
  REQUIRE(vm2.links->Send("vm1", {"raft", "back"}) == SendResult::kQueued);
  REQUIRE(net.Until([&] { return vm2.received.size() == 200 && vm1.received.size() == 1; }));
  CHECK(vm2.received == expected);
  CHECK(vm1.links->Send("vm2", {"x", std::string(wire::kMaxBodyBytes, 'x')}) ==
        SendResult::kTooLarge);
}

// Guards against a link that stays down after a restart of the peer.
TEST_CASE("a link is opened again after the peer restarts") {
  Network net;
  Vm vm1(net.loop.get(), Network::Settings("vm1", net.port1, "vm2", net.port2));
  for (int start = 0; start < 3; ++start) {
    Vm vm2(net.loop.get(), Network::Settings("vm2", net.port2, "vm1", net.port1));
    REQUIRE(base::Ok(vm2.links->Listen()));
    REQUIRE(net.Until([&] { return vm1.links->IsConnected("vm2"); }));
    vm2.links.reset();
    REQUIRE(net.Until([&] { return !vm1.links->IsConnected("vm2"); }));
  }
  CHECK(vm1.states == std::vector<bool>{true, false, true, false, true, false});
}

// Forwards bytes between two sockets; can be made silent while its connections stay open.
class SilentRelay {
 public:
  SilentRelay(event_base* event_loop, const settings::Endpoint& target)
      : loop(event_loop), endpoint(target) {
    this->accept_event.reset(event_new(
        event_loop, this->port.socket, EV_READ | EV_PERSIST,
        [](evutil_socket_t, std::int16_t, void* self) {
          static_cast<SilentRelay*>(self)->Accept();
        },
        this));
    event_add(this->accept_event.get(), nullptr);
  }
  ~SilentRelay() {
    for (const auto& pipe : this->pipes) close(pipe->from);
  }
  SilentRelay(const SilentRelay&) = delete;
  SilentRelay& operator=(const SilentRelay&) = delete;

  // Open connections deliver nothing from now on; new ones work.
  void SilenceOpenConnections() {
    for (const auto& pipe : this->pipes) pipe->is_silent = true;
  }

  Port port{true};

 private:
  struct Pipe {
    int from = -1;
    int to = -1;
    bool is_silent = false;
    internal::Event event;
  };

  void Accept() {
    const int left = accept(this->port.socket, nullptr, nullptr);
    const int right = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(this->endpoint.port);
    REQUIRE(connect(right, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    this->AddPipe(left, right);
    this->AddPipe(right, left);
  }

  void AddPipe(int from, int to) {
    auto& pipe = this->pipes.emplace_back(std::make_unique<Pipe>());
    pipe->from = from;
    pipe->to = to;
    pipe->event.reset(event_new(
        this->loop, from, EV_READ | EV_PERSIST,
        [](evutil_socket_t, std::int16_t, void* self) {
          auto* p = static_cast<Pipe*>(self);
          std::string bytes(65536, '\0');
          const ssize_t count = read(p->from, bytes.data(), bytes.size());
          if (count <= 0) {
            event_del(p->event.get());
          } else if (!p->is_silent) {
            (void)!write(p->to, bytes.data(), static_cast<std::size_t>(count));
          }
        },
        pipe.get()));
    event_add(pipe->event.get(), nullptr);
  }

  event_base* loop;
  settings::Endpoint endpoint;
  internal::Event accept_event;
  std::vector<std::unique_ptr<Pipe>> pipes;
};

// Guards against an open connection that went silent for good while new ones work.
TEST_CASE("a silent connection is replaced by a working one") {
  Network net;
  Vm vm2(net.loop.get(), Network::Settings("vm2", net.port2, "vm1", net.port1));
  REQUIRE(base::Ok(vm2.links->Listen()));
  SilentRelay relay(net.loop.get(), net.port2.endpoint);
  PeerLinkSettings settings = Network::Settings("vm1", net.port1, "vm2", relay.port);
  settings.probe_every = milliseconds(30);
  settings.silence_limit = milliseconds(200);
  Vm vm1(net.loop.get(), settings);
  REQUIRE(net.Until([&] { return vm1.links->IsConnected("vm2"); }));
  relay.SilenceOpenConnections();
  REQUIRE(net.Until([&] { return vm1.links->Counts().replaced_silent == 1; }));
  REQUIRE(net.Until([&] { return vm1.links->IsConnected("vm2"); }));
  REQUIRE(vm1.links->Send("vm2", {"raft", "after"}) == SendResult::kQueued);
  REQUIRE(net.Until([&] { return !vm2.received.empty(); }));
  CHECK(vm2.received == std::vector<std::string>{"vm1:after"});
}

// Guards against consensus messages that are pushed out by gossip, and against unbounded memory.
TEST_CASE("a full queue drops soft messages first and refuses what doesn't fit") {
  Network net;
  Vm vm2(net.loop.get(), Network::Settings("vm2", net.port2, "vm1", net.port1));
  REQUIRE(base::Ok(vm2.links->Listen()));
  PeerLinkSettings settings = Network::Settings("vm1", net.port1, "vm2", net.port2);
  settings.max_queue_bytes = 1000;
  settings.peers[0].send_delay = milliseconds(100);
  Vm vm1(net.loop.get(), settings);
  REQUIRE(net.Until([&] { return vm1.links->IsConnected("vm2"); }));
  const std::string payload(200, 'x');
  REQUIRE(vm1.links->Send("vm2", {"gossip", payload}) == SendResult::kQueued);
  REQUIRE(vm1.links->Send("vm2", {"gossip", payload}) == SendResult::kQueued);
  for (int i = 0; i < 4; ++i) {
    REQUIRE(vm1.links->Send("vm2", {"raft", payload}) == SendResult::kQueued);
  }
  CHECK(vm1.dropped == std::map<std::string, int>{{"gossip", 2}});
  CHECK(vm1.links->Send("vm2", {"raft", payload}) == SendResult::kQueueFull);
  CHECK(vm1.links->Send("vm2", {"gossip", payload}) == SendResult::kQueueFull);
  vm1.links->Replace("vm2");
  CHECK(vm1.dropped == std::map<std::string, int>{{"gossip", 2}, {"raft", 4}});
  CHECK(vm1.states == std::vector<bool>{true, false});
  REQUIRE(net.Until([&] { return vm1.links->IsConnected("vm2"); }));
}

// Guards against strangers and wrongly configured VMs.
TEST_CASE("a VM with another key or an unknown name is refused") {
  Network net;
  Vm vm2(net.loop.get(), Network::Settings("vm2", net.port2, "vm1", net.port1));
  REQUIRE(base::Ok(vm2.links->Listen()));
  Vm stranger(net.loop.get(), Network::Settings("vm1", net.port1, "vm2", net.port2), 'b');
  REQUIRE(net.Until([&] { return vm2.links->Counts().refused_frames >= 2; }));
  CHECK_FALSE(stranger.links->IsConnected("vm2"));
  stranger.links.reset();
  Vm unknown(net.loop.get(), Network::Settings("vm7", net.port1, "vm2", net.port2));
  REQUIRE(net.Until([&] { return unknown.states.size() >= 2; }));
  CHECK(vm2.received.empty());
  Vm taken(net.loop.get(), Network::Settings("vm3", net.port2, "vm1", net.port1));
  CHECK_FALSE(base::Ok(taken.links->Listen()));
}

}  // namespace
}  // namespace mangoroad::net
