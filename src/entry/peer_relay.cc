#include "entry/peer_relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "entry/clock.h"
#include "entry/event_log.h"

namespace toucandock::entry {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::udp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kGreetingInterval{300};
// A host that has not greeted for this long is taken to be gone.
constexpr milliseconds kGreetingMemory{2'000};
// Without an answer for this long, a host reads the store itself. With the time
// below it is well within the time in which changes must be in force.
constexpr milliseconds kAnswerLifetime{900};
// The source's reads are held by the store for a second at most.
constexpr milliseconds kFreshAnswer{1'400};
constexpr milliseconds kFetchTimeout{500};
// After a failed fetch, a host reads the store itself for this long.
constexpr milliseconds kMistrust{2'000};
// The store counts as down for all when this part of the other hosts says so.
constexpr double kOutagePart = 0.75;
// Hosts that stand by to take the duty over.
constexpr size_t kStandbyHosts = 6;
// The store holds a read that finds nothing new for this long.
constexpr milliseconds kPollWait{2'000};
constexpr milliseconds kSourcePollWait{1'000};

milliseconds ToMilliseconds(core::Duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

constexpr Stream kStreams[] = {Stream::kConfig, Stream::kTargets,
                               Stream::kOwnership};

}  // namespace

PeerRelay::PeerRelay(boost::asio::io_context& io,
                     std::string ip,
                     std::uint16_t port,
                     Followers& followers,
                     PeerRelayHooks hooks)
    : io_(io),
      ip_(std::move(ip)),
      port_(port),
      followers_(followers),
      hooks_(std::move(hooks)),
      socket_(io),
      timer_(io),
      responder_(io, [this](const net::HttpRequest& request) {
        return Serve(request);
      }) {}

// Opens the peer port, for datagrams and for fetches of records.
absl::Status PeerRelay::Start() {
  error_code ec;
  socket_.open(udp::v4(), ec);
  if (!ec) {
    socket_.bind({boost::asio::ip::make_address_v4(ip_), port_}, ec);
  }
  if (ec) {
    return absl::UnavailableError(
        absl::StrCat("cannot open the peer port ", port_, ": ", ec.message()));
  }
  Receive();
  Greet();
  return responder_.Listen(absl::StrCat(ip_, ":", port_));
}

// Datagrams may get lost; each is followed by others within a second.
void PeerRelay::Send(const udp::endpoint& to, const std::string& text) {
  error_code ec;
  socket_.send_to(boost::asio::buffer(text), to, 0, ec);
}

void PeerRelay::SendLoad(const std::string& address,
                         const core::keyspace::LoadReport& report) {
  if (const auto to = net::ParseEndpoint(address); to.ok()) {
    Send({to->address(), to->port()}, EncodeLoadReport(report));
  }
}

void PeerRelay::NoteRecords(Stream stream,
                            const ReadResult& result,
                            bool complete) {
  if (complete) {
    caches_[stream].StartAt(result.end);
  } else {
    caches_[stream].Add(result);
  }
}

void PeerRelay::NoteAnswer(Stream stream) {
  answered_[stream] = LeaseClockNow();
}

StreamState PeerRelay::StateOf(Stream stream) const {
  const auto answered = answered_.find(stream);
  const StreamFollower& follower = *followers_.at(stream);
  return {.next = follower.next(),
          .fresh = follower.has_newest() && answered != answered_.end() &&
                   LeaseClockNow() - answered->second <= kFreshAnswer};
}

void PeerRelay::Greet() {
  const core::TimePoint now = LeaseClockNow();
  const bool is_source = hooks_.is_source();
  const bool trusted = !is_source && now >= mistrusted_until_ &&
                       now - source_answered_ <= kAnswerLifetime;
  is_relayed_ = trusted;
  for (auto& [stream, follower] : followers_) {
    follower->SetPollWait(is_source ? kSourcePollWait : kPollWait);
    const bool relayed = trusted && source_state_[stream].fresh;
    follower->SetRelayed(relayed);
    is_relayed_ = is_relayed_ && relayed;
  }
  for (const std::string& address : hooks_.sources()) {
    if (const auto to = net::ParseEndpoint(address); to.ok()) {
      Send({to->address(), to->port()},
           EncodeGreeting({.store_lost = hooks_.store_lost()}));
    }
  }
  timer_.expires_after(kGreetingInterval);
  timer_.async_wait([this](const error_code& ec) {
    if (!ec) {
      Greet();
    }
  });
}

void PeerRelay::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this](const error_code& ec, size_t n) {
        if (ec == boost::asio::error::operation_aborted) {
          return;
        }
        if (!ec) {
          OnDatagram(std::string(buffer_.data(), n));
        }
        Receive();
      });
}

void PeerRelay::OnDatagram(const std::string& text) {
  if (const auto greeting = DecodeGreeting(text); greeting.ok()) {
    if (greeting->is_answer) {
      OnAnswer(*greeting);
    } else {
      OnGreeting(*greeting);
    }
    return;
  }
  const auto report = DecodeLoadReport(text);
  if (!report.ok()) {
    LogEvent("datagram_unreadable", {{"cause", report.status().message()}});
    return;
  }
  hooks_.on_load(*report);
}

void PeerRelay::OnGreeting(const PeerGreeting& greeting) {
  const core::TimePoint now = LeaseClockNow();
  greeters_[sender_] = {.last = now, .store_lost = greeting.store_lost};
  std::erase_if(greeters_, [now](const auto& it) {
    return now - it.second.last > kGreetingMemory;
  });
  const auto lost =
      std::count_if(greeters_.begin(), greeters_.end(),
                    [](const auto& it) { return it.second.store_lost; });
  if (static_cast<double>(lost) >=
      kOutagePart * static_cast<double>(greeters_.size())) {
    hooks_.on_outage_reported();
  }
  if (!hooks_.is_source()) {
    return;
  }
  const auto up_since = hooks_.store_up_since();
  const auto rank = static_cast<size_t>(
      std::distance(greeters_.begin(), greeters_.find(sender_)));
  Send(sender_,
       EncodeGreeting({.is_answer = true,
                       .config = StateOf(Stream::kConfig),
                       .targets = StateOf(Stream::kTargets),
                       .ownership = StateOf(Stream::kOwnership),
                       .store_up = up_since ? ToMilliseconds(now - *up_since)
                                            : milliseconds(0),
                       .hosts = static_cast<int>(greeters_.size()) + 1,
                       .standby = rank < kStandbyHosts}));
}

void PeerRelay::OnAnswer(const PeerGreeting& answer) {
  if (!source_ || *source_ != sender_) {
    source_ = sender_;
    source_client_ = std::make_unique<net::HttpClient>(
        io_, net::Tcp::endpoint(sender_.address(), sender_.port()));
    fetching_.clear();
  }
  source_answered_ = LeaseClockNow();
  source_state_ = {{Stream::kConfig, answer.config},
                   {Stream::kTargets, answer.targets},
                   {Stream::kOwnership, answer.ownership}};
  hooks_.on_answer(answer.hosts, answer.standby);
  const StreamFollower& targets = *followers_[Stream::kTargets];
  if (answer.store_up > milliseconds(0) && answer.targets.fresh &&
      targets.has_newest() && targets.next() >= answer.targets.next) {
    hooks_.on_store_witnessed(source_answered_ - answer.store_up);
  }
  for (const Stream stream : kStreams) {
    const StreamFollower& follower = *followers_[stream];
    if (follower.has_newest() && follower.next() < source_state_[stream].next) {
      Fetch(stream);
    }
  }
}

void PeerRelay::Fetch(Stream stream) {
  if (fetching_[stream]) {
    return;
  }
  fetching_[stream] = true;
  net::HttpRequest request{
      http::verb::get,
      absl::StrCat("/records?stream=", static_cast<int>(stream),
                   "&from=", followers_[stream]->next()),
      11};
  request.set(http::field::host, ip_);
  source_client_->Call(
      std::move(request), kFetchTimeout,
      [this, stream, source = *source_](net::CallAnswer answer) {
        if (source_ != source) {
          return;
        }
        fetching_[stream] = false;
        if (answer.result == net::CallResult::kAnswered &&
            answer.response.result() == http::status::ok) {
          const auto records = DecodeRecords(answer.response.body());
          if (records.ok()) {
            followers_[stream]->Deliver(*records);
            return;
          }
        }
        LogEvent("fetch_failed", {{"stream", static_cast<int>(stream)},
                                  {"next", followers_[stream]->next()}});
        mistrusted_until_ = LeaseClockNow() + kMistrust;
      });
}

// GET /records?stream=N&from=OFFSET
net::HttpResponse PeerRelay::Serve(const net::HttpRequest& request) const {
  net::HttpResponse response;
  response.result(http::status::not_found);
  const std::string target(request.target());
  const std::string kPath = "/records?stream=";
  const size_t from = target.find("&from=");
  int stream = 0;
  core::Offset offset = 0;
  if (target.rfind(kPath, 0) != 0 || from == std::string::npos ||
      !absl::SimpleAtoi(target.substr(kPath.size(), from - kPath.size()),
                        &stream) ||
      !absl::SimpleAtoi(target.substr(from + 6), &offset)) {
    return response;
  }
  const auto cache = caches_.find(static_cast<Stream>(stream));
  if (cache == caches_.end()) {
    return response;
  }
  const std::optional<ReadResult> records = cache->second.From(offset);
  if (!records) {
    response.result(http::status::gone);
    return response;
  }
  response.result(http::status::ok);
  response.set(http::field::content_type, "application/json");
  response.body() = EncodeRecords(*records);
  return response;
}

}  // namespace toucandock::entry
