#include "controller/edge_node.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "log/log.h"
#include "log/repeat_limit.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace mangoroad::controller {
namespace {

/// Part of a caller's time-out that is reserved for the transfer of the reply.
constexpr base::Duration kReplyReserve = std::chrono::milliseconds(150);
/// Idle connections to the core are reused up to this age; older ones may have been dropped
/// silently.
constexpr base::Duration kMaxIdle = std::chrono::seconds(3);
constexpr const char* kRelayPath = "/v1/callers";

/// True when the core has refused the request that it answers. That says nothing about an earlier
/// attempt at the same request.
bool IsRefusal(CallerOutcome outcome) {
  return outcome == CallerOutcome::kNoQueue || outcome == CallerOutcome::kMalformed ||
         outcome == CallerOutcome::kBusy || outcome == CallerOutcome::kUnavailable;
}

}  // namespace

struct EdgeNode::Private {
  /// A request of a caller that has no reply yet.
  struct PendingRequest {
    std::string body;
    bool changes_state = false;
    /// A core VM may have executed the request without replying.
    bool is_in_doubt = false;
    int attempts = 0;
    base::TimePoint deadline;
    OnReply done;
    net::Timer retry_timer;

    [[nodiscard]] bool MayHaveRun() const { return this->changes_state && this->is_in_doubt; }
  };
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  net::EventLoop& loop;
  net::HttpClient& client;
  EdgeSettings settings;
  std::string leader;
  std::set<std::string> members;
  std::size_t next_member = 0;
  std::optional<base::TimePoint> last_leader_contact;
  net::Timer probe_timer;
  /// Needed because each waiting request tries a core VM many times a second.
  log::RepeatLimit failure_log_limit{std::chrono::seconds(1)};

  Private(net::EventLoop& event_loop, net::HttpClient& http_client, EdgeSettings edge_settings)
      : loop(event_loop), client(http_client), settings(std::move(edge_settings)) {
    this->members.insert(this->settings.seeds.begin(), this->settings.seeds.end());
  }

  std::string NextCoreVm();
  void SendAttempt(const PendingRequestPtr& pending);
  void OnResponse(const PendingRequestPtr& pending, const std::string& core,
                  std::optional<net::HttpFailure> failure, const net::HttpAnswer& response,
                  const std::string& body);
  void RetryLater(const PendingRequestPtr& pending);
  void FailWithoutLeader(const PendingRequestPtr& pending);
  /// The fate of the request isn't known, so that it may be repeated but isn't refused.
  void FailAsUnknown(const PendingRequestPtr& pending);
  void Finish(const PendingRequestPtr& pending, const CallerReply& reply);
  void UpdateLeader(const RelayReply& reply, const std::string& core);
  void Submit(const CallerRequest& request, base::Duration timeout, OnReply done);
};

std::string EdgeNode::Private::NextCoreVm() {
  if (!this->leader.empty()) return this->leader;
  if (this->members.empty()) return {};
  auto member = this->members.begin();
  std::advance(member, static_cast<std::ptrdiff_t>(this->next_member++ % this->members.size()));
  return *member;
}

void EdgeNode::Private::UpdateLeader(const RelayReply& reply, const std::string& core) {
  const std::string previous_leader = this->leader;
  if (reply.answered) {
    this->leader = core;
    this->last_leader_contact = this->loop.Now();
  } else {
    this->leader = reply.leader == core ? std::string() : reply.leader;
  }
  if (!reply.members.empty()) {
    this->members = {reply.members.begin(), reply.members.end()};
    // The settings may name core VMs that haven't joined yet.
    this->members.insert(this->settings.seeds.begin(), this->settings.seeds.end());
  }
  if (previous_leader != this->leader) {
    log::Info(log::Category::kEntry, "leader changed",
              {{"leader", this->leader}, {"before", previous_leader}, {"told_by", core}});
  }
}

void EdgeNode::Private::SendAttempt(const PendingRequestPtr& pending) {
  const std::string core = this->NextCoreVm();
  const base::TimePoint now = this->loop.Now();
  if (core.empty() || now >= pending->deadline) return this->FailWithoutLeader(pending);
  pending->attempts += 1;
  net::HttpClientRequest request;
  request.address = {core, this->settings.relay_port};
  request.method = net::HttpMethod::kPost;
  request.target = kRelayPath;
  request.body = pending->body;
  request.timeout = std::min(this->settings.attempt_timeout, pending->deadline - now);
  request.max_idle = kMaxIdle;
  this->client.SendWhole(
      std::move(request),
      [this, pending, core](std::optional<net::HttpFailure> failure,
                            const net::HttpAnswer& response, const std::string& body) {
        this->OnResponse(pending, core, failure, response, body);
      });
}

void EdgeNode::Private::OnResponse(const PendingRequestPtr& pending, const std::string& core,
                                   std::optional<net::HttpFailure> failure,
                                   const net::HttpAnswer& response, const std::string& body) {
  if (failure || response.status != 200) {
    if (!failure || !net::IsNotSent(*failure)) pending->is_in_doubt = true;
    if (this->leader == core) this->leader.clear();
    const std::string_view kind =
        failure ? base::NameOf(net::kHttpFailureNames, *failure) : std::string_view("status");
    const std::uint64_t times =
        this->failure_log_limit.Count(this->loop.Now(), core + std::string(kind));
    if (times > 0) {
      log::Info(log::Category::kEntry, "core failed",
                {{"core", core}, {"failure", kind}, {"times", times}});
    }
    return this->RetryLater(pending);
  }
  const auto reply = DecodeRelayReply(body);
  if (!reply) {
    log::Error(log::Category::kEntry, "malformed answer of the core", {{"core", core}});
    pending->is_in_doubt = true;
    return this->RetryLater(pending);
  }
  this->UpdateLeader(*reply, core);
  if (!reply->answered) return this->RetryLater(pending);
  if (pending->MayHaveRun() && IsRefusal(reply->reply.outcome)) return this->FailAsUnknown(pending);
  this->Finish(pending, reply->reply);
}

void EdgeNode::Private::RetryLater(const PendingRequestPtr& pending) {
  if (this->loop.Now() + this->settings.retry_delay >= pending->deadline) {
    return this->FailWithoutLeader(pending);
  }
  pending->retry_timer =
      this->loop.After(this->settings.retry_delay, [this, pending] { this->SendAttempt(pending); });
}

void EdgeNode::Private::FailWithoutLeader(const PendingRequestPtr& pending) {
  if (pending->MayHaveRun()) return this->FailAsUnknown(pending);
  CallerReply reply;
  reply.outcome = CallerOutcome::kUnavailable;
  reply.retry_after_ms = this->settings.retry_after_ms;
  reply.reason = "no leader answered";
  this->Finish(pending, reply);
}

void EdgeNode::Private::FailAsUnknown(const PendingRequestPtr& pending) {
  CallerReply reply;
  reply.outcome = CallerOutcome::kUnknown;
  reply.retry_after_ms = this->settings.retry_after_ms;
  reply.reason = "an earlier attempt got no answer";
  this->Finish(pending, reply);
}

void EdgeNode::Private::Finish(const PendingRequestPtr& pending, const CallerReply& reply) {
  const OnReply done = std::exchange(pending->done, nullptr);
  pending->retry_timer = net::Timer();
  if (done) done(reply);
}

void EdgeNode::Private::Submit(const CallerRequest& request, base::Duration timeout, OnReply done) {
  auto pending = std::make_shared<PendingRequest>();
  pending->body = EncodeCallerRequest(request);
  pending->changes_state =
      request.verb == CallerVerb::kSubmit || request.verb == CallerVerb::kCancel;
  pending->deadline =
      this->loop.Now() + std::min(timeout - kReplyReserve, this->settings.leader_timeout);
  pending->done = std::move(done);
  this->SendAttempt(pending);
}

EdgeNode::EdgeNode(net::EventLoop& loop, net::HttpClient& client, EdgeSettings settings)
    : d(std::make_unique<Private>(loop, client, std::move(settings))) {
  this->d->probe_timer = loop.Every(this->d->settings.probe_interval, [this] {
    this->d->Submit({}, this->d->settings.attempt_timeout, [](const CallerReply&) {});
  });
}

EdgeNode::~EdgeNode() = default;

void EdgeNode::Handle(const CallerRequest& request, base::Duration timeout, OnReply done) {
  this->d->Submit(request, timeout,
                  [request_verb = request.verb, path = request.path,
                   callback = std::move(done)](const CallerReply& reply) {
                    log::Info(log::Category::kEntry, "request answered",
                              {{"verb", base::NameOf(kCallerVerbNames, request_verb)},
                               {"path", path},
                               {"outcome", base::NameOf(kCallerOutcomeNames, reply.outcome)},
                               {"reason", reply.reason}});
                    callback(reply);
                  });
}

bool EdgeNode::IsReady() const {
  const std::optional<base::TimePoint> last_contact = this->d->last_leader_contact;
  return last_contact && this->d->loop.Now() - *last_contact < this->d->settings.ready_timeout;
}

void EdgeNode::UpdateSeeds(std::vector<std::string> seeds) {
  this->d->settings.seeds = std::move(seeds);
  this->d->members.insert(this->d->settings.seeds.begin(), this->d->settings.seeds.end());
}

}  // namespace mangoroad::controller
