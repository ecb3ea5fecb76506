// HTTP connections to one entry VM, one for each request in progress, kept for later requests.
#pragma once

#include <event2/event.h>
#include <event2/http.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "settings/settings.h"

namespace mangoroad::load {

struct HttpAnswer {
  /// 0 when no whole answer came.
  int status = 0;
  /// Header `Mangoroad-Outcome`; empty when it is missing.
  std::string outcome;
  std::string body;
};

class HttpPool {
 public:
  using Headers = std::vector<std::pair<std::string, std::string>>;
  using Callback = std::function<void(HttpAnswer answer)>;

  HttpPool(event_base* event_loop, settings::Endpoint address, base::Duration answer_timeout);
  ~HttpPool();
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;

  /// The callback is called once, later or at once when the request can't be sent.
  void Post(const std::string& path, const Headers& headers, const std::string& body,
            Callback callback);
  [[nodiscard]] const std::string& Address() const { return this->address_text; }

 private:
  struct ConnectionFreer {
    void operator()(evhttp_connection* object) const { evhttp_connection_free(object); }
  };
  using Connection = std::unique_ptr<evhttp_connection, ConnectionFreer>;
  struct Call {
    HttpPool* pool = nullptr;
    Connection connection;
    Callback callback;
    std::list<Call>::iterator self;
  };

  Connection TakeConnection();
  static void OnDone(evhttp_request* request, void* argument);

  event_base* loop;
  settings::Endpoint endpoint;
  std::string address_text;
  timeval timeout;
  std::list<Call> calls;
  std::vector<Connection> idle;
  /// Failed connections, freed outside of their own callbacks.
  std::vector<Connection> failed;
};

}  // namespace mangoroad::load
