#include "site.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <sstream>
#include <stdexcept>

extern char** environ;

namespace review {
namespace {

using geranium::Duration;
using geranium::OrderOutcome;
using geranium::OrderReply;
using geranium::TaskName;
using geranium::TaskRun;
using geranium::TimePoint;
using geranium::WorkerId;

constexpr auto kHeartbeatInterval = std::chrono::milliseconds(1500);
constexpr auto kHoldInterval = std::chrono::milliseconds(2);
constexpr int kMaxSeeds = 3;
const std::vector<std::string> kZones = {"budapest-a", "budapest-b", "gyor",
                                         "szeged"};

/// Kinds of listeners; each kind has a range of ports.
enum Kind {
  kLink,
  kLinkListen,
  kCaller,
  kCallerListen,
  kReady,
  kEntryMetrics,
  kRegistration,
  kAgentMetrics,
  kWorker,
  kStore,
  kStoreListen,
  kKinds
};
constexpr int kPortsOfKind = 16;

// Ended by a handler if the case itself is told to end.
constexpr int kMaxProcesses = 64;
volatile sig_atomic_t started_pids[kMaxProcesses];
volatile sig_atomic_t started_count = 0;

void EndProcesses(int /*signal*/) {
  for (int i = 0; i < started_count; ++i) {
    if (started_pids[i] > 0) kill(started_pids[i], SIGKILL);
  }
  _exit(2);
}

/// The first of a range of free loopback ports.
unsigned short FindPorts(int count) {
  const int first = 20000 + static_cast<int>(getpid()) % 200 * 180 % 11000;
  for (int base = first; base < 60000 - count; base += count) {
    bool free = true;
    for (int i = 0; free && i < count; ++i) {
      asio::io_context io;
      Tcp::acceptor acceptor(io);
      boost::system::error_code error;
      acceptor.open(Tcp::v4(), error);
      acceptor.bind({asio::ip::address_v4::loopback(),
                     static_cast<unsigned short>(base + i)},
                    error);
      free = !error;
    }
    if (free) return static_cast<unsigned short>(base);
  }
  throw std::runtime_error("no free ports");
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw std::runtime_error("cannot read " + path);
  return text.str();
}

/// Fills in a template of the deploy file as the platform does.
std::string Expand(std::string text,
                   const std::map<std::string, std::string>& values) {
  for (const auto& [name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    for (auto at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder, at)) {
      text.replace(at, placeholder.size(), value);
    }
  }
  if (text.find("{{") != std::string::npos) {
    throw std::runtime_error("placeholder without a value: " + text);
  }
  return text;
}

geranium::HttpResponse JsonAnswer(int status, const Json& body) {
  geranium::HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

geranium::HttpResponse ToAnswer(const OrderOutcome& outcome) {
  Json body = {{"clock-ms", outcome.clock_ms.value_or(0)}};
  switch (outcome.reply) {
    case OrderReply::kAccepted:
      return JsonAnswer(200, body);
    case OrderReply::kFenced:
      body["reason"] = "fence";
      break;
    case OrderReply::kSuperseded:
      body["reason"] = "old";
      break;
    case OrderReply::kExpired:
      body["reason"] = "late";
      break;
    default:
      return JsonAnswer(421, body);
  }
  return JsonAnswer(409, body);
}

}  // namespace

Site::Site(SiteOptions options)
    : options_(std::move(options)),
      started_(clock_.Now()),
      io_(1),
      record_(options_.folder + "/record.txt"),
      base_port_(FindPorts(kKinds * kPortsOfKind)) {
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    std::signal(signal, EndProcesses);
  }
  is_cut_ = [this](const std::string& from, const std::string& to) {
    return cut_ && (cut_(from, to) || cut_(to, from));
  };
  char folder[] = "/tmp/geranium-review-XXXXXX";
  if (mkdtemp(folder) == nullptr) throw std::runtime_error("no folder");
  temporary_ = folder;
  origins_.Add("outside", getpid());
  store_ = std::make_unique<geranium::standins::PlatformStore>(io_);
  store_server_ = std::make_unique<geranium::HttpServer>(
      io_, [this](const ExchangePtr& exchange) { store_->Serve(exchange); });
  store_server_->Listen(Address(kStoreListen, 0));
  http_ = std::make_unique<geranium::HttpClient>(io_);
  AddForwarder("store", kStore, kStoreListen, 0);
  for (int i = 0; i < options_.entries; ++i) {
    AddForwarder(Entry(i), kLink, kLinkListen, i);
    AddForwarder(Entry(i), kCaller, kCallerListen, i);
    Spawn(Entry(i), "target/geranium-entry", EntrySettings(i));
  }
  for (int i = 0; i < options_.workers; ++i) {
    AddWorker(i);
    Spawn(Agent(i), "target/geranium-agent", AgentSettings(i));
  }
}

Site::~Site() {
  for (const auto& [machine, pid] : pids_) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    Forget(pid);
  }
  std::error_code ignored;
  if (getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(temporary_, ignored);
  }
}

unsigned short Site::Port(int kind, int index) const {
  return static_cast<unsigned short>(base_port_ + kind * kPortsOfKind + index);
}

std::string Site::Address(int kind, int index) const {
  return "127.0.0.1:" + std::to_string(Port(kind, index));
}

std::string Site::Seeds() const {
  std::string seeds;
  for (int i = 0; i < std::min(options_.entries, kMaxSeeds); ++i) {
    seeds += (i == 0 ? "" : ",") + Address(kLink, i);
  }
  return seeds;
}

// The forwarder has the address that others are told; the entry listens beside
// it.
std::string Site::EntrySettings(int i) const {
  std::string text =
      Expand(ReadFile("deploy/entry.ini"),
             {{"node-name", Entry(i)},
              {"zone", kZones[static_cast<std::size_t>(i) % kZones.size()]},
              {"bind-addrs.control-plane",
               Address(kLink, i) +
                   "\nlink_listen_address = " + Address(kLinkListen, i)},
              {"bind-addrs.frontend", Address(kCallerListen, i)},
              {"bind-addrs.ready", Address(kReady, i)},
              {"ip", "127.0.0.1"},
              {"port-range.0", std::to_string(Port(kEntryMetrics, i))},
              {"bounds.grace-s", "6"},
              {"seeds", Seeds()},
              {"platform.address", Address(kStore, 0)}});
  return text;
}

std::string Site::AgentSettings(int i) const {
  return Expand(ReadFile("deploy/agent.ini"),
                {{"node-name", Agent(i)},
                 {"bind-addrs.control-plane", Address(kRegistration, i)},
                 {"app", Address(kWorker, i)},
                 {"bounds.max-hold-ms", "1000"},
                 {"ip", "127.0.0.1"},
                 {"port-range.0", std::to_string(Port(kAgentMetrics, i))},
                 {"bounds.grace-s", "6"},
                 {"seeds", Seeds()},
                 {"platform.address", Address(kStore, 0)}});
}

void Site::AddForwarder(const std::string& machine, int from_kind, int to_kind,
                        int index) {
  forwarders_.push_back(std::make_shared<Forwarder>(
      io_, origins_, is_cut_, machine, Port(from_kind, index),
      Port(to_kind, index)));
  forwarders_.back()->Start();
}

void Site::Spawn(const std::string& machine, const std::string& program,
                 const std::string& settings) {
  programs_[machine] = {program, settings};
  const std::string file = temporary_ + "/" + machine + ".ini";
  std::ofstream(file) << settings;
  const std::string log = temporary_ + "/" + machine + ".log";
  std::vector<std::string> words = {program, "--settings", file};
  std::vector<char*> argv;
  for (std::string& word : words) argv.push_back(word.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // Sockets of this process are not to be inherited.
  for (int fd = 3; fd < 512; ++fd) {
    const int flags = fcntl(fd, F_GETFD);
    if (flags >= 0) fcntl(fd, F_SETFD, flags | FD_CLOEXEC);
  }
  pid_t pid = 0;
  const int error = posix_spawn(&pid, program.c_str(), &actions, nullptr,
                                argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + program);
  if (started_count < kMaxProcesses) {
    started_pids[started_count] = pid;
    started_count = started_count + 1;
  }
  pids_[machine] = pid;
  origins_.Add(machine, pid);
}

void Site::Signal(const std::string& machine, int signal) {
  Note("signal " + std::to_string(signal) + " to " + machine);
  kill(pids_.at(machine), signal);
}

void Site::Forget(pid_t pid) {
  for (int i = 0; i < started_count; ++i) {
    if (started_pids[i] == pid) started_pids[i] = 0;
  }
}

void Site::Kill(const std::string& machine) {
  Signal(machine, SIGKILL);
  waitpid(pids_.at(machine), nullptr, 0);
  Forget(pids_.at(machine));
  pids_.erase(machine);
}

void Site::Restart(const std::string& machine) {
  Note(machine + " is started again");
  const auto [program, settings] = programs_.at(machine);
  Spawn(machine, program, settings);
}

void Site::Note(const std::string& text) {
  record_ << NowMs() << " ms " << text << "\n" << std::flush;
}

void Site::RunFor(int ms) {
  io_.restart();
  io_.run_for(std::chrono::milliseconds(ms));
}

bool Site::AwaitReady(int ms) {
  const std::int64_t until = NowMs() + ms;
  while (NowMs() < until) {
    RunFor(200);
    int ready = 0;
    for (int i = 0; i < options_.entries; ++i) {
      geranium::HttpCall call;
      call.address = Address(kReady, i);
      call.target = "/-/readyz";
      call.timeout = Duration(500);
      call.use_new_connection = true;
      http_->Start(call, [&ready](const geranium::HttpOutcome& outcome) {
        const bool ok = outcome.failure == geranium::HttpFailure::kNone &&
                        outcome.response.status == 200;
        if (ok) ++ready;
      });
    }
    RunFor(600);
    if (ready == options_.entries) {
      // Every machine has been in touch for `contact-ms`.
      RunFor(4000);
      return true;
    }
  }
  return false;
}

void Site::Publish(const Json& manifest) {
  Note("the operator writes op/config version " +
       std::to_string(manifest.at("version").get<int>()));
  store_->Put("config", manifest.dump());
}

std::shared_ptr<Request> Site::Send(int entry, const std::string& who,
                                    const std::string& method,
                                    const std::string& target,
                                    const std::string& body,
                                    int request_deadline_ms,
                                    Request::OnEnd on_end) {
  Note(who + " sends " + method + " " + target + " to " + Entry(entry));
  auto request = std::make_shared<Request>(
      io_, [this, who, method, target, entry, on_end](
               int status, const std::string& answer) {
        Note(who + " gets " +
             (status == 0 ? std::string("no answer") : std::to_string(status)) +
             " " + answer + " for " + method + " " + target + " from " +
             Entry(entry));
        on_end(status, answer);
      });
  request->Send(Port(kCaller, entry), method, target, body,
                request_deadline_ms);
  return request;
}

// ---- workers

void Site::AddWorker(int i) {
  workers_.push_back(std::make_unique<Worker>());
  Worker& worker = *workers_.back();
  worker.index = i;
  geranium::WorkerAnnouncement self;
  self.id = WorkerId("i-" + std::to_string(i));
  self.service = geranium::ServiceName("dispatch");
  self.data_centre = geranium::DataCentreName(
      kZones[static_cast<std::size_t>(i) % kZones.size()]);
  self.labels = {"a", "r" + std::to_string(i / 3)};
  self.capacity = geranium::Resources{options_.worker_cores, 65536, 0};
  self.started_ms = 1'700'000'000'000 + static_cast<std::uint64_t>(i);
  worker.model = std::make_unique<geranium::standins::SizedWorker>(
      self, [this](const TaskName& name) { return behaviours_[name]; });
  worker.model->Restart(clock_.Now());
  worker.server = std::make_unique<geranium::HttpServer>(
      io_, [this, &worker](const ExchangePtr& exchange) {
        OnCall(worker, exchange);
      });
  const std::string error = worker.server->Listen(Address(kWorker, i));
  if (!error.empty()) throw std::runtime_error(error);
  worker.heartbeat = std::make_unique<asio::steady_timer>(io_);
  SendHeartbeat(worker);
}

void Site::SendHeartbeat(Worker& worker) {
  const auto self = worker.model->Announce(clock_.Now());
  geranium::HttpCall call;
  call.address = Address(kRegistration, worker.index);
  call.method = "POST";
  call.target = "/-/Instances.Heartbeat/" + self.id.value();
  call.timeout = Duration(1000);
  call.body = Json{
      {"service", self.service.value()},
      {"address", Address(kWorker, worker.index)},
      {"zone", self.data_centre.value()},
      {"version", "v1"},
      {"slots", 8},
      {"state", self.draining ? "draining" : "ready"},
      {"cold-left-ms", 0},
      {"seq", self.sequence},
      {"labels", self.labels},
      {"clock-ms", self.clock_ms},
      {"born", self.started_ms},
      {"capacity",
       {{"cpu", self.capacity.cpu * 1000},
        {"mem-mb", self.capacity.memory_mb},
        {"gpu",
         0}}}}.dump();
  http_->Start(
      std::move(call), [this, &worker](const geranium::HttpOutcome& outcome) {
        const bool accepted = outcome.failure == geranium::HttpFailure::kNone &&
                              outcome.response.status == 200;
        worker.heartbeat->expires_after(
            accepted ? kHeartbeatInterval : std::chrono::milliseconds(100));
        worker.heartbeat->async_wait([this, &worker](const auto& error) {
          if (!error) SendHeartbeat(worker);
        });
      });
}

void Site::OnCall(Worker& worker, const ExchangePtr& exchange) {
  const Json body = Json::parse(exchange->request().body);
  const std::string& path = exchange->request().path;
  const WorkerId intended(
      exchange->request().Header("expect-instance").value_or("i-none"));
  const TimePoint now = clock_.Now();
  if (path == "/-/hold") {
    Hold(worker, exchange, body, now + Duration(body.value("wait-ms", 0)));
    return;
  }
  const TaskRun run{TaskName(body.at("task").get<std::string>()),
                    body.at("run").get<std::uint64_t>()};
  const auto token = body.at("fencing-token").get<std::uint64_t>();
  if (path == "/-/run-stop") {
    const auto outcome = worker.model->Stop({intended, run, token}, now);
    UpdateRuns();
    exchange->Reply(ToAnswer(outcome));
    return;
  }
  const Json spec = Json::parse(body.at("spec").get<std::string>());
  geranium::standins::TaskBehaviour behaviour;
  behaviour.work = Duration(spec.at("work_ms").get<int>());
  behaviour.size.cpu = spec.at("cores").get<double>();
  behaviours_[run.task] = behaviour;
  const auto before = worker.model->running();
  const auto outcome =
      worker.model->Start({intended, run, geranium::SharedText(),
                           body.at("deadline-ms").get<std::int64_t>(), token},
                          now);
  const bool is_new =
      outcome.reply == OrderReply::kAccepted &&
      std::find(before.begin(), before.end(), run) == before.end();
  if (is_new) {
    Note("i-" + std::to_string(worker.index) + " starts " + run.task.value() +
         " run " + std::to_string(run.run));
    runs_.push_back({run.task.value(), run.run, worker.index, NowMs(), -1});
  }
  exchange->Reply(ToAnswer(outcome));
}

void Site::Hold(Worker& worker, const ExchangePtr& exchange, const Json& body,
                TimePoint until) {
  const auto acknowledged = body.value("acked-through", std::uint64_t{0});
  const TimePoint now = clock_.Now();
  geranium::PollRuns order;
  order.worker = WorkerId(
      exchange->request().Header("expect-instance").value_or("i-none"));
  order.fencing_token = body.at("fencing-token").get<std::uint64_t>();
  order.acknowledged_end = acknowledged;
  if (body.contains("deadline-ms")) {
    order.lease_until_ms = body.at("deadline-ms").get<std::int64_t>();
  }
  worker.model->Renew(order, now);
  UpdateRuns();
  if (now < until && !worker.model->HasUnacknowledgedEnd(acknowledged)) {
    auto timer = std::make_shared<asio::steady_timer>(io_, kHoldInterval);
    timer->async_wait(
        [this, timer, &worker, exchange, body, until](const auto& error) {
          if (!error && !exchange->disconnected()) {
            Json later = body;  // The lease counts from the call's arrival.
            later.erase("deadline-ms");
            Hold(worker, exchange, later, until);
          }
        });
    return;
  }
  order.lease_until_ms.reset();
  const auto outcome = worker.model->Poll(order, now);
  if (outcome.reply != OrderReply::kAccepted) {
    exchange->Reply(ToAnswer({outcome.reply, outcome.clock_ms, "", false}));
    return;
  }
  Json running = Json::array();
  for (const auto& run : outcome.running) {
    running.push_back({run.run.task.value(), run.run.run, "", run.percent, 0});
  }
  Json finished = Json::array();
  for (const auto& run : outcome.ended) {
    const char* end = run.end == geranium::RunEnd::kDone     ? "done"
                      : run.end == geranium::RunEnd::kFailed ? "failed"
                                                             : "stopped";
    finished.push_back(
        {run.number, run.run.task.value(), run.run.run, end, ""});
  }
  exchange->Reply(JsonAnswer(200, {{"clock-ms", *outcome.clock_ms},
                                   {"born", outcome.started_ms},
                                   {"running", running},
                                   {"finished", finished}}));
}

// Takes note of the runs that are no longer at work.
void Site::UpdateRuns() {
  const TimePoint now = clock_.Now();
  for (const auto& worker : workers_) worker->model->Advance(now);
  for (RunSpan& span : runs_) {
    if (span.ended_ms >= 0) continue;
    const auto running =
        workers_[static_cast<std::size_t>(span.worker)]->model->running();
    const TaskRun run{TaskName(span.task), span.run};
    if (std::find(running.begin(), running.end(), run) != running.end()) {
      continue;
    }
    span.ended_ms = NowMs();
    Note("i-" + std::to_string(span.worker) + " no longer runs " + span.task +
         " run " + std::to_string(span.run));
  }
}

const std::vector<RunSpan>& Site::Runs() {
  UpdateRuns();
  return runs_;
}

std::vector<Site::Overlap> Site::FindOverlaps() {
  UpdateRuns();
  std::vector<Overlap> overlaps;
  const auto end = [this](const RunSpan& span) {
    return span.ended_ms < 0 ? NowMs() : span.ended_ms;
  };
  for (std::size_t i = 0; i < runs_.size(); ++i) {
    for (std::size_t j = i + 1; j < runs_.size(); ++j) {
      const RunSpan& a = runs_[i];
      const RunSpan& b = runs_[j];
      if (a.task != b.task) continue;
      const std::int64_t ms =
          std::min(end(a), end(b)) - std::max(a.began_ms, b.began_ms);
      if (ms > 0) overlaps.push_back({a, b, ms});
    }
  }
  return overlaps;
}

}  // namespace review
