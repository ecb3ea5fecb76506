// HTTP client of a target for one entry VM, over one kept connection.
#pragma once

#include <event2/event.h>
#include <event2/http.h>

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "base/time.h"
#include "settings/settings.h"

namespace mangoroad::standin {

/// Posts JSON to an entry VM. Requests of one client are sent one after the other.
class EntryClient {
 public:
  /// Status 0 means that no whole answer came; the request may have been received all the same.
  using Callback = std::function<void(int status, std::string body)>;

  EntryClient(event_base* base, const settings::Endpoint& endpoint, base::Duration timeout);
  ~EntryClient();
  EntryClient(const EntryClient&) = delete;
  EntryClient& operator=(const EntryClient&) = delete;

  void Post(const std::string& path, const std::string& body, Callback callback);

 private:
  struct Call {
    EntryClient* client = nullptr;
    Callback callback;
    std::list<std::unique_ptr<Call>>::iterator self;
  };
  struct ConnectionCloser {
    void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
  };

  static void OnDone(evhttp_request* request, void* argument);

  std::string host;
  std::list<std::unique_ptr<Call>> calls;
  std::unique_ptr<evhttp_connection, ConnectionCloser> connection;
};

}  // namespace mangoroad::standin
