#include "process/step_site.h"

#include <algorithm>

namespace geranium::process {
namespace {

/// Kinds of listeners; the proxy listens for each on a port of its own.
constexpr int kListenerKinds = 10;
/// Each entry reaches the operator log at a proxy port of its own.
constexpr int kStoreKind = 2 * kListenerKinds;
constexpr int kMinStride = 10;
constexpr int kMaxSeeds = 3;
/// Longer than any job of the tests takes.
constexpr Duration kCallTimeout{15'000};

std::vector<std::string> WithSettings(
    std::vector<std::string> arguments,
    const std::vector<std::string>& settings) {
  for (const std::string& setting : settings) {
    arguments.insert(arguments.end(), {"--set", setting});
  }
  return arguments;
}

int Stride(int entries, int workers) {
  return std::max({kMinStride, entries, workers});
}

}  // namespace

int StepSite::CountPorts(int entries, int workers) {
  return (kStoreKind + kListenerKinds) * Stride(entries, workers);
}

StepSite::StepSite(StepSiteOptions options)
    : options_(options),
      stride_(Stride(options.entries, options.workers)),
      processes_(options.port) {
  std::string workers;
  std::string agents;
  for (int i = 0; i < options_.workers; ++i) {
    workers += (i == 0 ? "" : ",") + WorkerAddress(i);
    agents += (i == 0 ? "" : ",") + ProxiedAddress(RegistrationAddress(i));
  }
  processes_.Spawn("platform",
                   {Program("platform-site"), "--store", StoreAddress(),
                    "--workers", workers, "--agents", agents});
  for (int i = 0; i < options_.entries; ++i) StartEntry(i);
  for (int i = 0; i < options_.workers; ++i) StartAgent(i);
}

std::string StepSite::EntryName(int entry) {
  return "entry-" + std::to_string(entry);
}

std::string StepSite::AgentName(int worker) {
  return "agent-" + std::to_string(worker);
}

std::string StepSite::Address(int kind, int index) const {
  return "127.0.0.1:" + std::to_string(options_.port + kind * stride_ + index);
}

std::string StepSite::ProxiedAddress(const std::string& address) const {
  if (!options_.is_proxied) return address;
  const auto colon = address.rfind(':') + 1;
  return address.substr(0, colon) +
         std::to_string(std::stoi(address.substr(colon)) +
                        kListenerKinds * stride_);
}

std::string StepSite::StoreAddressFor(int entry) const {
  return options_.is_proxied ? Address(kStoreKind, entry) : StoreAddress();
}

std::string StepSite::Seeds() const {
  std::string seeds;
  for (int i = 0; i < std::min(options_.entries, kMaxSeeds); ++i) {
    seeds += (i == 0 ? "" : ",") + ProxiedAddress(LinkAddress(i));
  }
  return seeds;
}

void StepSite::StartEntry(int entry) {
  processes_.Spawn(
      EntryName(entry),
      WithSettings(
          {Program("geranium-entry"), "--set", "entry.id=" + EntryName(entry),
           "--set", "entry.data_centre=north", "--set",
           "entry.link_address=" + ProxiedAddress(LinkAddress(entry)), "--set",
           "entry.link_listen_address=" + LinkAddress(entry), "--set",
           "entry.caller_address=" + CallerAddress(entry), "--set",
           "entry.ready_address=" + ReadyAddress(entry), "--set",
           "entry.metrics_address=" + EntryMetricsAddress(entry), "--set",
           "peers.entries=" + Seeds(), "--set",
           "platform.store_address=" + StoreAddressFor(entry)},
          options_.entry_settings));
}

void StepSite::StartAgent(int worker) {
  processes_.Spawn(
      AgentName(worker),
      WithSettings(
          {Program("geranium-agent"), "--set", "agent.id=" + AgentName(worker),
           "--set", "agent.registration_address=" + RegistrationAddress(worker),
           "--set",
           "agent.worker_address=" + ProxiedAddress(WorkerAddress(worker)),
           "--set", "agent.metrics_address=" + AgentMetricsAddress(worker),
           "--set", "peers.entries=" + Seeds(), "--set",
           "platform.store_address=" + StoreAddress()},
          options_.agent_settings));
}

bool StepSite::Publish(const std::string& manifest) const {
  return Control("put", {{"key", "config"}, {"value", manifest}}) == 200;
}

bool StepSite::IsReady() const {
  for (int i = 0; i < options_.entries; ++i) {
    if (Send(ReadyAddress(i), "GET", "/-/readyz", "").status != 200)
      return false;
  }
  return true;
}

HttpResponse StepSite::Send(const std::string& address,
                            const std::string& method,
                            const std::string& target,
                            const std::string& body) const {
  HttpCall call;
  call.address = address;
  call.method = method;
  call.target = target;
  call.body = body;
  call.headers["Host"] = "callers.example";
  call.timeout = kCallTimeout;
  const HttpOutcome outcome = Fetch(call);
  HttpResponse none;
  none.status = 0;
  return outcome.failure == HttpFailure::kNone ? outcome.response : none;
}

std::string StepSite::JobBody(int work_ms, int tasks) {
  const Json spec = {{"work_ms", work_ms}};
  return Json{{"spec", spec.dump()},
              {"best-effort", true},
              {"steps",
               {{{"count", tasks},
                 {"cpu", 1000},
                 {"mem-mb", 16},
                 {"estimated-ms", work_ms}}}}}
      .dump();
}

HttpResponse StepSite::Submit(int entry, const std::string& id, int work_ms,
                              int tasks) const {
  return Send(CallerAddress(entry), "POST", "/desk/" + id,
              JobBody(work_ms, tasks));
}

int StepSite::Control(const std::string& resource, const Json& body) const {
  return Send(StoreAddress(), "POST", "/stand-in/" + resource, body.dump())
      .status;
}

StepSite::Json StepSite::FetchWorkerReport() const {
  return Json::parse(
      Send(StoreAddress(), "POST", "/stand-in/judge", "{}").body);
}

std::string StepSite::Manifest(int version, const std::string& prefix) {
  return Json{{"version", version},
              {"routes",
               {{{"name", "r"},
                 {"host", "callers.example"},
                 {"path-prefix", prefix},
                 {"service", "desk"},
                 {"priority", 0},
                 {"target-latency-ms", 500},
                 {"slack-factor", 2.0},
                 {"timeout-ms", 9000},
                 {"max-attempts", 2}}}}}
      .dump();
}

}  // namespace geranium::process
