#include "review_site.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

using Json = nlohmann::json;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr char kHost[] = "desk.example";
constexpr char kService[] = "dispatch";
constexpr char kPrefix[] = "/desk/";
const std::vector<std::string> kZones = {"budapest-a", "budapest-b", "gyor",
                                         "szeged"};
constexpr Milliseconds kMaxHoldMs = 1000;    // max-hold-ms
constexpr Milliseconds kHeartbeatMs = 1500;  // heartbeat-ms
constexpr Milliseconds kStopMs = 20;         // below stop-timeout-ms, 50
constexpr Milliseconds kHoldCheckMs = 2;
constexpr int kWorkersPerRack = 3;
constexpr int kFirstPort = 20'000;
constexpr int kLastPort = 31'000;
constexpr Milliseconds kReadyTimeoutMs = 15'000;

std::string AddressOf(int port) { return "127.0.0.1:" + std::to_string(port); }

int PortOf(const std::string& address) {
  return std::stoi(address.substr(address.rfind(':') + 1));
}

Milliseconds WorkOf(const std::string& spec) {
  return std::stoll(spec.substr(spec.find("work=") + 5));
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read " + path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Milliseconds SteadyNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Recorder::Recorder(const std::string& path)
    : file_(path), started_(SteadyNow()) {}

// Task names are written with slashes, as with dots they look like addresses.
void Recorder::Write(const std::string& line) {
  static const std::regex task_name(
      R"(([0-9a-f]{16})\.([0-9]+)\.([0-9]+)\.([0-9]+))");
  file_ << elapsed() << " ms  "
        << std::regex_replace(line, task_name, "$1/$2/$3/$4") << std::endl;
}

// ---- worker

Worker::Worker(Site& site, std::size_t index, int cpu, int memory_mb)
    : site_(site),
      id_("i-" + std::to_string(index)),
      zone_(kZones[index % kZones.size()]),
      rack_("r1-" + std::to_string(index / kWorkersPerRack)),
      cpu_(cpu),
      memory_mb_(memory_mb),
      acceptor_(site.io()),
      born_steady_(SteadyNow()),
      born_unix_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count()) {
  acceptor_.open(tcp::v4());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  acceptor_.listen();
  address_ = AddressOf(acceptor_.local_endpoint().port());
}

void Worker::Listen() { asio::co_spawn(site_.io(), Accept(), asio::detached); }

void Worker::SendHeartbeats() {
  asio::co_spawn(site_.io(), Heartbeats(), asio::detached);
}

asio::awaitable<void> Worker::Accept() {
  while (true) {
    tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
    socket.set_option(tcp::no_delay(true));
    asio::co_spawn(site_.io(), Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> Worker::Serve(tcp::socket socket) {
  beast::flat_buffer buffer;
  beast::error_code error;
  while (true) {
    http::request<http::string_body> request;
    co_await http::async_read(socket, buffer, request,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    const std::string path(request.target());
    std::pair<int, std::string> answer{404, "{}"};
    Reply reply = Reply::kSound;
    Advance();
    const bool is_order = path == "/-/run-start" || path == "/-/run-stop";
    if (is_order && choose_reply) reply = choose_reply(path);
    const std::string expected(request["Expect-Instance"]);
    if (!expected.empty() && expected != id_) {
      answer = {421, Json{{"clock-ms", Clock()}}.dump()};
    } else if (reply == Reply::kUnhealthy) {
      answer = {503, Json{{"clock-ms", Clock()}}.dump()};
      site_.recorder().Write(id_ + " answers 503 to " + path + " " +
                             request.body());
    } else if (path == "/-/run-start") {
      answer = Start(request.body());
    } else if (path == "/-/run-stop") {
      answer = Stop(request.body());
    } else if (path == "/-/hold") {
      answer = co_await Hold(request.body());
    }
    if (reply == Reply::kResetAfterOrder) {
      site_.recorder().Write(id_ + " resets the channel of " + path + " " +
                             request.body() + " unanswered");
      socket.set_option(asio::socket_base::linger(true, 0));
      socket.close();
      co_return;
    }
    http::response<http::string_body> response(
        static_cast<http::status>(answer.first), request.version());
    response.set(http::field::content_type, "application/json");
    response.keep_alive(request.keep_alive());
    response.body() = answer.second;
    response.prepare_payload();
    co_await http::async_write(
        socket, response, asio::redirect_error(asio::use_awaitable, error));
    if (error || !request.keep_alive()) co_return;
  }
}

asio::awaitable<void> Worker::Heartbeats() {
  while (true) {
    geranium::HttpCall call;
    call.address = agent_;
    call.method = "POST";
    call.target = "/-/Instances.Heartbeat/" + id_;
    call.timeout = geranium::Duration(1000);
    call.body =
        Json{{"service", kService},
             {"address", address_},
             {"zone", zone_},
             {"version", "v1"},
             {"slots", 8},
             {"state", "ready"},
             {"cold-left-ms", 0},
             {"capacity", {{"cpu", cpu_}, {"mem-mb", memory_mb_}, {"gpu", 0}}},
             {"labels", {"a", rack_}},
             {"clock-ms", Clock()},
             {"born", born_unix_ms_},
             {"seq", ++sequence_}}
            .dump();
    const auto outcome = co_await site_.Send(site_.client(), call);
    const bool taken = outcome.failure == geranium::HttpFailure::kNone &&
                       outcome.response.status == 200;
    co_await site_.Sleep(taken ? kHeartbeatMs : 200);
  }
}

std::pair<int, std::string> Worker::Refuse(const std::string& reason) const {
  return {409, Json{{"clock-ms", Clock()}, {"reason", reason}}.dump()};
}

void Worker::ExtendLease(Milliseconds until) {
  lease_until_ = std::max(lease_until_, std::min(until, Clock() + kMaxHoldMs));
}

std::pair<int, std::string> Worker::Start(const std::string& text) {
  const Json body = Json::parse(text);
  const RunName run{body.at("task"), body.at("run")};
  const auto token = body.value("fencing-token", std::uint64_t{0});
  if (token < fencing_token_) return Refuse("fence");
  fencing_token_ = token;
  ExtendLease(body.at("deadline-ms").get<Milliseconds>());
  if (lease_until_ <= Clock()) return Refuse("late");
  const std::string ok = Json{{"clock-ms", Clock()}}.dump();
  if (running_.contains(run)) return {200, ok};
  const auto ended = highest_ended_.find(run.task);
  if (ended != highest_ended_.end() && run.run <= ended->second) {
    return Refuse("old");
  }
  site_.recorder().Write(id_ + " starts " + run.task + " run " +
                         std::to_string(run.run));
  if (site_.on_start) site_.on_start(*this, run);
  running_[run] =
      Run{SteadyNow(), WorkOf(body.at("spec").get<std::string>()), {}};
  return {200, ok};
}

std::pair<int, std::string> Worker::Stop(const std::string& text) {
  const Json body = Json::parse(text);
  const RunName run{body.at("task"), body.at("run")};
  const auto token = body.value("fencing-token", std::uint64_t{0});
  if (token < fencing_token_) return Refuse("fence");
  fencing_token_ = token;
  site_.recorder().Write(id_ + " is told to stop " + run.task + " run " +
                         std::to_string(run.run));
  const auto found = running_.find(run);
  if (found != running_.end() && !found->second.stops_at) {
    found->second.stops_at = SteadyNow() + kStopMs;
  }
  std::uint64_t& highest = highest_ended_[run.task];
  highest = std::max(highest, run.run);
  return {200, Json{{"clock-ms", Clock()}}.dump()};
}

asio::awaitable<std::pair<int, std::string>> Worker::Hold(std::string text) {
  const Json body = Json::parse(text);
  const auto token = body.value("fencing-token", std::uint64_t{0});
  if (token < fencing_token_) co_return Refuse("fence");
  fencing_token_ = token;
  if (body.contains("deadline-ms")) {
    ExtendLease(body.at("deadline-ms").get<Milliseconds>());
  }
  const auto acknowledged = body.value("acked-through", std::uint64_t{0});
  std::erase_if(ended_,
                [&](const End& end) { return end.number <= acknowledged; });
  const Milliseconds until =
      SteadyNow() + body.value("wait-ms", Milliseconds{0});
  while (true) {
    Advance();
    const bool has_end = !ended_.empty() && ended_.back().number > acknowledged;
    if (has_end || SteadyNow() >= until) break;
    co_await site_.Sleep(kHoldCheckMs);
  }
  Json running = Json::array();
  for (const auto& [run, state] : running_) {
    const int percent = static_cast<int>(std::clamp<Milliseconds>(
        100 * (SteadyNow() - state.started_at) / state.work, 0, 99));
    running.push_back({run.task, run.run, "", percent, 0});
  }
  Json finished = Json::array();
  for (const End& end : ended_) {
    if (end.number <= acknowledged) continue;
    finished.push_back({end.number, end.run.task, end.run.run, end.how, ""});
  }
  co_return std::pair<int, std::string>{200, Json{{"clock-ms", Clock()},
                                                  {"born", born_unix_ms_},
                                                  {"running", running},
                                                  {"finished", finished}}
                                                 .dump()};
}

void Worker::Finish(const RunName& run, const std::string& how) {
  running_.erase(run);
  std::uint64_t& highest = highest_ended_[run.task];
  highest = std::max(highest, run.run);
  ended_.push_back({next_end_++, run, how});
  site_.recorder().Write(id_ + " ends " + run.task + " run " +
                         std::to_string(run.run) + " " + how);
}

void Worker::Advance() {
  const Milliseconds now = SteadyNow();
  std::vector<std::pair<RunName, std::string>> over;
  for (const auto& [run, state] : running_) {
    if (state.stops_at && now >= *state.stops_at) {
      over.emplace_back(run, "stopped");
    } else if (now >= state.started_at + state.work) {
      over.emplace_back(run, "done");
    } else if (Clock() > lease_until_) {
      over.emplace_back(run, "lapsed");
    }
  }
  for (const auto& [run, how] : over) Finish(run, how);
}

bool Worker::IsRunning(const std::string& task) const {
  return std::any_of(running_.begin(), running_.end(),
                     [&](const auto& item) { return item.first.task == task; });
}

// ---- site

Site::Site(const std::string& record_path, SiteOptions options)
    : recorder_(record_path), options_(options), client_(io_), store_(io_) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "geranium-review-XXXXXX")
          .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  folder_ = pattern;
}

Site::~Site() {
  for (const auto& [name, pid] : processes_) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

int Site::Run(std::function<asio::awaitable<int>()> scenario) {
  int code = 2;
  asio::co_spawn(io_, scenario(), [&](std::exception_ptr error, int result) {
    try {
      if (error) std::rethrow_exception(error);
      code = result;
    } catch (const std::exception& exception) {
      recorder_.Write(std::string("the case could not run: ") +
                      exception.what());
    }
    io_.stop();
  });
  io_.run();
  recorder_.Write("exit " + std::to_string(code));
  return code;
}

// Below the ports that the kernel gives to outgoing connections, which could
// take one between this check and the start of the process that listens there.
std::string Site::FreeAddress() {
  std::uniform_int_distribution<int> ports(kFirstPort, kLastPort);
  while (true) {
    const int port = ports(random_);
    if (!used_ports_.insert(port).second) continue;
    tcp::acceptor probe(io_);
    boost::system::error_code error;
    probe.open(tcp::v4());
    probe.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                             static_cast<unsigned short>(port)),
               error);
    if (!error) return AddressOf(port);
  }
}

std::string Site::Fill(const std::string& path,
                       const std::map<std::string, std::string>& values) const {
  std::string text = ReadFile(path);
  for (const auto& [name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    for (auto at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder)) {
      text.replace(at, placeholder.size(), value);
    }
  }
  if (text.find("{{") != std::string::npos) {
    throw std::runtime_error(path + " has a placeholder that is not filled");
  }
  return text;
}

void Site::Spawn(const std::string& name, const std::string& program,
                 const std::string& settings) {
  std::ofstream(folder_ + "/" + name + ".ini") << settings;
  Launch(name, program);
}

void Site::Launch(const std::string& name, const std::string& program) {
  const std::string file = folder_ + "/" + name + ".ini";
  const std::string log = folder_ + "/" + name + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with this process.
    const int descriptor =
        open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(descriptor, 1);
    dup2(descriptor, 2);
    for (int other = 3; other < 1024; ++other) close(other);
    execl(program.c_str(), program.c_str(), "--settings", file.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  processes_[name] = pid;
}

asio::awaitable<bool> Site::Start() {
  store_address_ = FreeAddress();
  store_server_ = std::make_unique<geranium::HttpServer>(
      io_, [this](const std::shared_ptr<geranium::HttpExchange>& exchange) {
        store_.Serve(exchange);
      });
  const std::string error = store_server_->Listen(store_address_);
  if (!error.empty()) throw std::runtime_error(error);
  const Json manifest = {
      {"version", 3},
      {"routes",
       {{{"name", "desk"},
         {"host", kHost},
         {"path-prefix", kPrefix},
         {"service", kService},
         {"priority", 0},
         {"target-latency-ms", 60},
         {"slack-factor", 2.0},
         {"timeout-ms", 20'000},
         {"max-attempts", 3}}}},
      {"services", {{{"name", kService}, {"rejects-overload", false}}}},
      {"limits", {{"max-body-bytes", 262'144}}}};
  store_.Put("config", manifest.dump());

  std::string seeds;
  for (int i = 0; i < options_.entries; ++i) {
    entries_.push_back(
        {FreeAddress(), FreeAddress(), FreeAddress(), FreeAddress()});
    if (i < 3) seeds += (i == 0 ? "" : ",") + entries_.back().link;
  }
  for (int i = 0; i < options_.entries; ++i) {
    const Entry& entry = entries_[i];
    Spawn("entry-" + std::to_string(i), "target/geranium-entry",
          Fill("deploy/entry.ini",
               {{"node-name", "frontend-" + std::to_string(i)},
                {"zone", kZones[i % kZones.size()]},
                {"bind-addrs.control-plane", entry.link},
                {"bind-addrs.frontend", entry.caller},
                {"bind-addrs.ready", entry.ready},
                {"ip", "127.0.0.1"},
                {"port-range.0", std::to_string(PortOf(entry.metrics))},
                {"bounds.grace-s", "6"},
                {"seeds", seeds},
                {"platform.address", store_address_}}));
  }
  for (int i = 0; i < options_.workers; ++i) {
    auto worker = std::make_unique<Worker>(*this, i, options_.worker_cpu,
                                           options_.worker_memory_mb);
    agents_.push_back(FreeAddress());
    worker->set_agent(agents_.back());
    Spawn("agent-" + std::to_string(i), "target/geranium-agent",
          Fill("deploy/agent.ini",
               {{"node-name", "side-" + std::to_string(i)},
                {"bind-addrs.control-plane", agents_.back()},
                {"app", worker->address()},
                {"bounds.max-hold-ms", std::to_string(kMaxHoldMs)},
                {"ip", "127.0.0.1"},
                {"port-range.0", std::to_string(PortOf(FreeAddress()))},
                {"bounds.grace-s", "6"},
                {"seeds", seeds},
                {"platform.address", store_address_}}));
    worker->Listen();
    worker->SendHeartbeats();
    workers_.push_back(std::move(worker));
  }
  const Milliseconds until = SteadyNow() + kReadyTimeoutMs;
  while (SteadyNow() < until) {
    bool ready = true;
    for (int i = 0; i < options_.entries; ++i) {
      ready = co_await IsReady(i) && ready;
    }
    if (ready) {
      // The workers of all agents are known within two heartbeats.
      co_await Sleep(2 * kHeartbeatMs);
      recorder_.Write("all entries are ready");
      co_return true;
    }
    co_await Sleep(100);
  }
  recorder_.Write("the entries are not ready in time");
  co_return false;
}

asio::awaitable<void> Site::Sleep(Milliseconds ms) {
  asio::steady_timer timer(io_, std::chrono::milliseconds(ms));
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<geranium::HttpOutcome> Site::Send(geranium::HttpClient& client,
                                                  geranium::HttpCall call) {
  struct State {
    explicit State(asio::io_context& io) : timer(io) {
      timer.expires_at(asio::steady_timer::time_point::max());
    }
    asio::steady_timer timer;
    std::optional<geranium::HttpOutcome> outcome;
  };
  auto state = std::make_shared<State>(io_);
  client.Start(std::move(call), [state](geranium::HttpOutcome outcome) {
    state->outcome = std::move(outcome);
    state->timer.cancel();
  });
  while (!state->outcome) {
    boost::system::error_code ignored;
    co_await state->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return *state->outcome;
}

geranium::HttpCall Site::SubmitCall(int entry, const std::string& job,
                                    const JobSpec& spec,
                                    int deadline_ms) const {
  Json steps = Json::array();
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const JobSpec::Step& step = spec.steps[i];
    Json json = {{"count", step.count},
                 {"cpu", step.cpu},
                 {"mem-mb", step.memory_mb},
                 {"estimated-ms", step.estimate_ms}};
    if (i > 0) json["depends-on"] = {i - 1};
    steps.push_back(std::move(json));
  }
  geranium::HttpCall call;
  call.address = entries_.at(entry).caller;
  call.method = "POST";
  call.target = kPrefix + job;
  call.headers["Host"] = kHost;
  call.headers["Request-Deadline"] = std::to_string(deadline_ms);
  call.body = Json{
      {"spec", "work=" + std::to_string(spec.work_ms)},
      {"best-effort", true},
      {"steps",
       steps}}.dump();
  call.timeout = geranium::Duration(deadline_ms);
  call.retry_on_broken_connection = false;
  return call;
}

geranium::HttpCall Site::CancelCall(int entry, const std::string& job) const {
  geranium::HttpCall call;
  call.address = entries_.at(entry).caller;
  call.method = "DELETE";
  call.target = kPrefix + job;
  call.headers["Host"] = kHost;
  call.timeout = geranium::Duration(1000);
  call.use_new_connection = true;
  return call;
}

asio::awaitable<bool> Site::IsReady(int entry) {
  geranium::HttpCall call;
  call.address = entries_.at(entry).ready;
  call.target = "/-/readyz";
  call.timeout = geranium::Duration(500);
  call.use_new_connection = true;
  const auto outcome = co_await Send(client_, call);
  co_return outcome.failure ==
      geranium::HttpFailure::kNone&& outcome.response.status == 200;
}

void Site::Signal(int entry, int signal) {
  recorder_.Write("entry-" + std::to_string(entry) + " gets signal " +
                  std::to_string(signal));
  kill(processes_.at("entry-" + std::to_string(entry)), signal);
}

void Site::Restart(int entry) {
  const std::string name = "entry-" + std::to_string(entry);
  waitpid(processes_.at(name), nullptr, 0);
  Launch(name, "target/geranium-entry");
  recorder_.Write(name + " is started again");
}

std::string Site::NewJobId() {
  std::ostringstream id;
  id << std::hex << (0x5c0e7a2100000000ULL + ++next_job_);
  return id.str();
}

}  // namespace review
