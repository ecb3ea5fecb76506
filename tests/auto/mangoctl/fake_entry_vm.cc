#include "fake_entry_vm.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <utility>

namespace mangoroad::mangoctl {

struct FakeEntryVm::Private {
  Handler handler;
  event_base* loop = nullptr;
  evhttp* server = nullptr;
  event* stop_check = nullptr;
  int port = 0;
  std::atomic<bool> stopping = false;
  mutable std::mutex mutex;
  std::vector<FakeRequest> requests;
  std::thread thread;
};

namespace {

FakeRequest Read(evhttp_request* request) {
  FakeRequest read;
  read.method = evhttp_request_get_command(request) == EVHTTP_REQ_POST ? "POST" : "GET";
  read.path = evhttp_request_get_uri(request);
  const char* token =
      evhttp_find_header(evhttp_request_get_input_headers(request), "Mangoroad-Operator-Token");
  if (token != nullptr) read.token = token;
  evbuffer* body = evhttp_request_get_input_buffer(request);
  read.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, read.body.data(), read.body.size());
  return read;
}

void Reply(evhttp_request* request, const FakeAnswer& answer, event_base* loop) {
  if (answer.is_silent) return;
  if (answer.is_lost) {
    // The connection can't be freed inside its own callback.
    const auto free_connection = [](auto, auto, void* connection) {
      evhttp_connection_free(static_cast<evhttp_connection*>(connection));
    };
    const timeval now{};
    event_base_once(loop, -1, EV_TIMEOUT, free_connection, evhttp_request_get_connection(request),
                    &now);
    return;
  }
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, answer.body.data(), answer.body.size());
  evhttp_send_reply(request, answer.status, nullptr, body);
  evbuffer_free(body);
}

}  // namespace

FakeEntryVm::FakeEntryVm(Handler handler) : d(std::make_unique<Private>()) {
  Private& self = *this->d;
  self.handler = std::move(handler);
  self.loop = event_base_new();
  self.server = evhttp_new(self.loop);
  const auto on_request = [](evhttp_request* request, void* context) {
    auto& fake = *static_cast<Private*>(context);
    FakeRequest read = Read(request);
    const FakeAnswer answer = fake.handler(read);
    {
      const std::scoped_lock lock(fake.mutex);
      fake.requests.push_back(std::move(read));
    }
    Reply(request, answer, fake.loop);
  };
  evhttp_set_gencb(self.server, on_request, &self);
  evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(self.server, "127.0.0.1", 0);
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &size);
  self.port = ntohs(address.sin_port);
  // The loop is stopped from its own thread, since libevent is used here without locks.
  const auto check = [](auto, auto, void* context) {
    auto& fake = *static_cast<Private*>(context);
    if (fake.stopping) event_base_loopbreak(fake.loop);
  };
  self.stop_check = event_new(self.loop, -1, EV_PERSIST, check, &self);
  const timeval interval{0, 5'000};
  event_add(self.stop_check, &interval);
  self.thread = std::thread([&self] { event_base_dispatch(self.loop); });
}

FakeEntryVm::~FakeEntryVm() {
  this->d->stopping = true;
  this->d->thread.join();
  event_free(this->d->stop_check);
  evhttp_free(this->d->server);
  event_base_free(this->d->loop);
}

std::string FakeEntryVm::Address() const { return "127.0.0.1:" + std::to_string(this->d->port); }

std::vector<FakeRequest> FakeEntryVm::Requests() const {
  const std::scoped_lock lock(this->d->mutex);
  return this->d->requests;
}

}  // namespace mangoroad::mangoctl
