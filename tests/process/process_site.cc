#include "process/process_site.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace geranium::process {
namespace {

const char* const kDataCentres[] = {"north", "south"};

constexpr char kServiceConfig[] =
    "[data_centre north]\nregion = r\n[data_centre south]\nregion = r\n"
    "[service lookup]\nclass = urgent\nidempotent = true\ntimeout_ms = 3000\n"
    "[service booking]\ntimeout_ms = 3000\n"
    "[service batch]\nclass = bulk\ntimeout_ms = 5000\n";

}  // namespace

std::string Answer::Execution() const {
  if (!body.is_object() || !body.contains("error")) return "";
  return body.at("error").value("execution", "");
}

ProcessSite::ProcessSite(int port) : port_(port), processes_(port) {
  processes_.Spawn("log", {Program("platform-log"), "--listen", LogAddress()});
  for (int i = 1; i <= kEntries; ++i) StartEntry(i);
  for (int i = 1; i <= kWorkers; ++i) {
    processes_.Spawn(
        "backend-" + std::to_string(i),
        {Program("backend-server"), "--listen", BackendAddress(i)});
    StartAgent(i);
  }
  REQUIRE(Eventually(
      [&] { return Call(LogAddress(), "GET", "/v1/none").status == 404; }));
  const ChangeOutcome published = OperatorClient().SubmitChange(
      TextRecord{kServiceConfig, Version(0)}, Duration(5000));
  REQUIRE(published.state == ChangeState::kAccepted);
  AwaitWorkers(kWorkers);
}

std::string ProcessSite::Address(int offset) const {
  return "127.0.0.1:" + std::to_string(port_ + offset);
}

void ProcessSite::StartEntry(int entry) {
  processes_.Spawn(
      "entry-" + std::to_string(entry),
      {Program("geranium-entry"), "--set",
       "entry.id=entry-" + std::to_string(entry), "--set",
       "entry.link_address=" + EntryLinkAddress(entry), "--set",
       "entry.http_address=" + EntryHttpAddress(entry), "--set",
       "peers.entries=" + EntryLinkAddress(1) + "," + EntryLinkAddress(2),
       "--set", "log.address=" + LogAddress()});
}

void ProcessSite::StartAgent(int worker) {
  const std::string data_centre = kDataCentres[(worker - 1) % 2];
  processes_.Spawn(
      "agent-" + std::to_string(worker),
      {Program("geranium-agent"), "--set",
       "worker.id=worker-" + std::to_string(worker), "--set",
       "worker.data_centre=" + data_centre, "--set",
       "worker.services=lookup,booking,batch", "--set", "worker.slots=4",
       "--set", "worker.http_address=" + AgentHttpAddress(worker), "--set",
       "backend.address=" + BackendAddress(worker), "--set",
       "entries.addresses=" + EntryLinkAddress(1) + "," + EntryLinkAddress(2)});
}

void ProcessSite::AwaitWorkers(std::size_t workers) {
  const bool up = Eventually([&] {
    for (int i = 1; i <= kEntries; ++i) {
      const Answer status =
          Call(EntryHttpAddress(i), "GET", "/v1/operator/status");
      if (!status.IsComplete()) return false;
      int answering = 0;
      const Json& services = status.body.at("services");
      if (!services.contains("lookup")) return false;
      for (const Json& service_status : services.at("lookup")) {
        answering += service_status.at("answering").get<int>();
      }
      const bool fresh = status.body.at("fresh").get<bool>();
      if (!fresh || answering != static_cast<int>(workers)) return false;
    }
    return true;
  });
  REQUIRE(up);
}

Answer ProcessSite::Call(const std::string& address, const std::string& method,
                         const std::string& target, const Json& body,
                         std::map<std::string, std::string> headers) const {
  HttpCall call;
  call.address = address;
  call.method = method;
  call.target = target;
  call.headers = std::move(headers);
  call.timeout = Duration(40'000);
  if (!body.is_null()) call.body = body.dump();
  const HttpOutcome outcome = Fetch(call);
  Answer answer;
  if (outcome.failure != HttpFailure::kNone) return answer;
  answer.status = outcome.response.status;
  answer.body = Json::parse(outcome.response.body, nullptr, false);
  return answer;
}

Answer ProcessSite::Request(int entry, const std::string& service, int run_ms,
                            const std::string& id,
                            const std::string& key) const {
  std::map<std::string, std::string> headers;
  if (!key.empty()) headers["Idempotency-Key"] = key;
  return Call(EntryHttpAddress(entry), "POST",
              "/v1/services/" + service + "/requests",
              {{"run_ms", run_ms}, {"id", id}}, headers);
}

std::future<Answer> ProcessSite::RequestAsync(int entry,
                                              const std::string& service,
                                              int run_ms, const std::string& id,
                                              const std::string& key) const {
  return std::async(std::launch::async, [=, this] {
    return Request(entry, service, run_ms, id, key);
  });
}

std::future<Answer> ProcessSite::SubmitJobAsync(int entry, int tasks,
                                                int run_ms,
                                                const std::string& id) const {
  Json list = Json::array();
  for (int i = 0; i < tasks; ++i) {
    list.push_back(
        {{"payload",
          {{"run_ms", run_ms}, {"id", id + "/" + std::to_string(i)}}}});
  }
  const Json job{{"service", "batch"}, {"tasks", list}};
  return std::async(std::launch::async, [=, this] {
    return Call(EntryHttpAddress(entry), "POST", "/v1/jobs", job);
  });
}

Json ProcessSite::FetchStarts(int worker) const {
  const Answer answer = Call(BackendAddress(worker), "GET", "/starts");
  return answer.body.is_array() ? answer.body : Json::array();
}

int ProcessSite::CountStarts(const std::string& id, int worker) const {
  int starts = 0;
  for (int i = 1; i <= kWorkers; ++i) {
    if (worker != 0 && worker != i) continue;
    for (const Json& start : FetchStarts(i)) {
      if (start.value("id", "").starts_with(id)) ++starts;
    }
  }
  return starts;
}

int ProcessSite::MaxStartsPerTask(const std::string& id) const {
  std::map<std::string, int> counts;
  int max = 0;
  for (int i = 1; i <= kWorkers; ++i) {
    for (const Json& start : FetchStarts(i)) {
      const std::string task = start.value("id", "");
      if (task.starts_with(id)) max = std::max(max, ++counts[task]);
    }
  }
  return max;
}

void ProcessSite::SetBackendFault(int worker, const std::string& mode) const {
  REQUIRE(Call(BackendAddress(worker), "POST", "/fault", {{"mode", mode}})
              .IsComplete());
}

void ProcessSite::SetLogFault(const std::string& mode) const {
  REQUIRE(
      Call(LogAddress(), "POST", "/v1/fault", {{"mode", mode}}).IsComplete());
}

double ProcessSite::CountViolations() const {
  double sum = 0;
  std::vector<std::string> addresses;
  for (int i = 1; i <= kEntries; ++i) addresses.push_back(EntryHttpAddress(i));
  for (int i = 1; i <= kWorkers; ++i) addresses.push_back(AgentHttpAddress(i));
  for (const std::string& address : addresses) {
    HttpCall call;
    call.address = address;
    call.target = "/metrics";
    const std::string text = Fetch(call).response.body;
    const std::string name = "\ngeranium_invariant_violations_total{";
    for (auto at = text.find(name); at != std::string::npos;
         at = text.find(name, at + 1)) {
      sum += std::strtod(text.c_str() + text.find("} ", at) + 2, nullptr);
    }
  }
  return sum;
}

int ProcessSite::CountAdmitted(int entry) const {
  HttpCall call;
  call.address = EntryHttpAddress(entry);
  call.target = "/metrics";
  call.timeout = Duration(40'000);
  const HttpOutcome outcome = Fetch(call);
  REQUIRE(outcome.failure == HttpFailure::kNone);
  REQUIRE(outcome.response.status == 200);
  const std::string& text = outcome.response.body;
  const auto count = [&](const std::string& metric) {
    const std::string name = "\n" + metric + " ";
    const auto at = text.find(name);
    REQUIRE(at != std::string::npos);
    return std::strtod(text.c_str() + at + name.size(), nullptr);
  };
  return static_cast<int>(count("geranium_submissions_total") -
                          count("geranium_submissions_refused_total"));
}

SiteClient ProcessSite::OperatorClient() const {
  return SiteClient(LogAddress(), {EntryHttpAddress(1), EntryHttpAddress(2)});
}

ChangeOutcome ProcessSite::SetDataCentre(const std::string& name,
                                         bool in) const {
  const SiteClient site = OperatorClient();
  const auto history = site.ReadConfiguration();
  REQUIRE(history.has_value());
  const DataCentreState* current =
      FindDataCentre(history.value().reader.state(), DataCentreName(name));
  REQUIRE(current != nullptr);
  return site.SubmitChange(
      DataCentreRecord{current->name, in, current->changed}, Duration(5000));
}

}  // namespace geranium::process
