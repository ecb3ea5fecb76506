#include "entry_client.h"

#include <event2/buffer.h>

#include <utility>

namespace mangoroad::standin {

EntryClient::EntryClient(event_base* base, const settings::Endpoint& endpoint,
                         base::Duration timeout)
    : host(endpoint.Text()),
      connection(evhttp_connection_base_new(base, nullptr, endpoint.ip.c_str(), endpoint.port)) {
  const timeval limit{static_cast<time_t>(timeout.count() / 1'000'000),
                      static_cast<suseconds_t>(timeout.count() % 1'000'000)};
  evhttp_connection_set_timeout_tv(this->connection.get(), &limit);
}

EntryClient::~EntryClient() = default;

void EntryClient::Post(const std::string& path, const std::string& body, Callback callback) {
  const auto call = this->calls.insert(this->calls.end(), std::make_unique<Call>());
  (*call)->client = this;
  (*call)->callback = std::move(callback);
  (*call)->self = call;
  evhttp_request* request = evhttp_request_new(OnDone, call->get());
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", this->host.c_str());
  evhttp_add_header(headers, "Content-Type", "application/json");
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  // On failure, evhttp has already freed the request and not called OnDone.
  if (evhttp_make_request(this->connection.get(), request, EVHTTP_REQ_POST, path.c_str()) != 0) {
    const Callback failed = std::move((*call)->callback);
    this->calls.erase(call);
    failed(0, {});
  }
}

void EntryClient::OnDone(evhttp_request* request, void* argument) {
  auto* call = static_cast<Call*>(argument);
  int status = 0;
  std::string body;
  if (request != nullptr) {
    status = evhttp_request_get_response_code(request);
    evbuffer* input = evhttp_request_get_input_buffer(request);
    body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, body.data(), body.size());
  }
  const Callback callback = std::move(call->callback);
  call->client->calls.erase(call->self);
  callback(status, std::move(body));
}

}  // namespace mangoroad::standin
