#include "http_pool.h"

#include <event2/buffer.h>

namespace mangoroad::load {

HttpPool::HttpPool(event_base* event_loop, settings::Endpoint address,
                   base::Duration answer_timeout)
    : loop(event_loop),
      endpoint(std::move(address)),
      address_text(endpoint.Text()),
      timeout{static_cast<time_t>(answer_timeout.count() / 1'000'000),
              static_cast<suseconds_t>(answer_timeout.count() % 1'000'000)} {}

HttpPool::~HttpPool() = default;

HttpPool::Connection HttpPool::TakeConnection() {
  this->failed.clear();
  if (!this->idle.empty()) {
    Connection connection = std::move(this->idle.back());
    this->idle.pop_back();
    return connection;
  }
  Connection connection(evhttp_connection_base_new(this->loop, nullptr, this->endpoint.ip.c_str(),
                                                   this->endpoint.port));
  evhttp_connection_set_timeout_tv(connection.get(), &this->timeout);
  return connection;
}

void HttpPool::Post(const std::string& path, const Headers& headers, const std::string& body,
                    Callback callback) {
  const auto call = this->calls.emplace(this->calls.end());
  call->pool = this;
  call->connection = this->TakeConnection();
  call->callback = std::move(callback);
  call->self = call;
  evhttp_request* request = evhttp_request_new(OnDone, &*call);
  evkeyvalq* output = evhttp_request_get_output_headers(request);
  evhttp_add_header(output, "Host", this->address_text.c_str());
  for (const auto& [name, value] : headers) evhttp_add_header(output, name.c_str(), value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  // On failure, evhttp has already freed the request and not called OnDone.
  if (evhttp_make_request(call->connection.get(), request, EVHTTP_REQ_POST, path.c_str()) != 0) {
    const Callback refused = std::move(call->callback);
    this->failed.push_back(std::move(call->connection));
    this->calls.erase(call);
    refused({});
  }
}

void HttpPool::OnDone(evhttp_request* request, void* argument) {
  auto* call = static_cast<Call*>(argument);
  HttpPool* pool = call->pool;
  HttpAnswer answer;
  if (request != nullptr) {
    answer.status = evhttp_request_get_response_code(request);
    const char* outcome =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Mangoroad-Outcome");
    if (outcome != nullptr) answer.outcome = outcome;
    evbuffer* input = evhttp_request_get_input_buffer(request);
    answer.body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, answer.body.data(), answer.body.size());
  }
  (answer.status == 0 ? pool->failed : pool->idle).push_back(std::move(call->connection));
  const Callback callback = std::move(call->callback);
  pool->calls.erase(call->self);
  callback(std::move(answer));
}

}  // namespace mangoroad::load
