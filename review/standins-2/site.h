// A small site for the scripts of this review: the platform's store, workers
// and clients as PROTOCOL.md tells them, a proxy in front of each entry's link
// address, and the project's own programs as processes. Everything is on
// loopback, in one process with a thread for each connection.
#ifndef REVIEW_SITE_H_
#define REVIEW_SITE_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// ---- the record of what was sent, answered and run

class Record {
 public:
  explicit Record(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) std::exit(2);
  }
  std::int64_t Now() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() -
                                                                 start_)
        .count();
  }
  void Write(const std::string& text) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%7.3f  %s\n", static_cast<double>(Now()) / 1000.0,
                 text.c_str());
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
  Steady::time_point start_ = Steady::now();
};

// ---- sockets

inline bool BindTo(int fd, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
}

/// The first port of a block that is this process's own: it stays bound, so
/// that scripts that run side by side take other blocks.
inline int ReserveBlock() {
  constexpr int kFirst = 12'000;
  constexpr int kBlocks = 70;
  constexpr int kBlockSize = 100;
  const int begin = static_cast<int>(std::random_device()() % kBlocks);
  for (int i = 0; i < kBlocks; ++i) {
    const int port = kFirst + (begin + i) % kBlocks * kBlockSize;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (BindTo(fd, port)) return port;
    ::close(fd);
  }
  std::exit(2);
}

/// A port that nothing uses, below those that the system gives to clients.
inline int FreePort() {
  static int next = ReserveBlock() + 1;
  while (true) {
    const int port = next++;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool is_free = BindTo(fd, port);
    ::close(fd);
    if (is_free) return port;
  }
}

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int ListenOn(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = Loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      ::listen(fd, 128) != 0) {
    std::fprintf(stderr, "cannot listen on %d\n", port);
    std::exit(2);
  }
  return fd;
}

inline int ConnectTo(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool WriteAll(int fd, const std::string& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto sent =
        ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    at += static_cast<std::size_t>(sent);
  }
  return true;
}

// ---- HTTP

struct HttpMessage {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

/// Reads one message; false at the end of the connection or after the time.
inline bool ReadHttp(int fd, std::string& buffer, HttpMessage& message,
                     int timeout_ms) {
  const auto until = Steady::now() + std::chrono::milliseconds(timeout_ms);
  std::size_t length = 0;
  std::size_t end = std::string::npos;
  while (true) {
    if (end == std::string::npos) {
      end = buffer.find("\r\n\r\n");
      if (end != std::string::npos) {
        message = HttpMessage();
        std::size_t at = buffer.find("\r\n");
        message.first_line = buffer.substr(0, at);
        while (at < end) {
          const std::size_t next = buffer.find("\r\n", at + 2);
          const std::string line = buffer.substr(at + 2, next - at - 2);
          const std::size_t colon = line.find(':');
          if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            for (char& c : name)
              c = static_cast<char>(
                  std::tolower(static_cast<unsigned char>(c)));
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers[name] =
                value == std::string::npos ? "" : line.substr(value);
          }
          at = next;
        }
        const auto found = message.headers.find("content-length");
        length = found == message.headers.end() ? 0 : std::stoul(found->second);
      }
    }
    if (end != std::string::npos && buffer.size() >= end + 4 + length) {
      message.body = buffer.substr(end + 4, length);
      buffer.erase(0, end + 4 + length);
      return true;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                          until - Steady::now())
                          .count();
    pollfd waiting{fd, POLLIN, 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
      return false;
    char bytes[16384];
    const auto read = ::recv(fd, bytes, sizeof bytes, 0);
    if (read <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(read));
  }
}

struct Reply {
  int status = 200;
  std::string body;
  std::string type = "application/json";
};

struct Request {
  std::string method, path, query;
  std::map<std::string, std::string> headers;
  std::string body;
  std::string Query(const std::string& name,
                    const std::string& fallback = "") const {
    std::size_t at = 0;
    while (at < query.size()) {
      std::size_t end = query.find('&', at);
      if (end == std::string::npos) end = query.size();
      const std::string part = query.substr(at, end - at);
      const std::size_t equals = part.find('=');
      if (equals != std::string::npos && part.substr(0, equals) == name)
        return part.substr(equals + 1);
      at = end + 1;
    }
    return fallback;
  }
};

class HttpServer {
 public:
  /// No reply: the connection is closed without an answer.
  using Handler = std::function<std::optional<Reply>(const Request&)>;
  HttpServer(int port, Handler handler) : handler_(std::move(handler)) {
    const int listener = ListenOn(port);
    std::thread([this, listener] {
      while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }).detach();
  }

 private:
  void Serve(int fd) {
    std::string buffer;
    HttpMessage message;
    while (ReadHttp(fd, buffer, message, 120'000)) {
      Request request;
      const std::size_t first = message.first_line.find(' ');
      const std::size_t second = message.first_line.find(' ', first + 1);
      request.method = message.first_line.substr(0, first);
      request.path = message.first_line.substr(first + 1, second - first - 1);
      const std::size_t mark = request.path.find('?');
      if (mark != std::string::npos) {
        request.query = request.path.substr(mark + 1);
        request.path.resize(mark);
      }
      request.headers = message.headers;
      request.body = message.body;
      const auto reply = handler_(request);
      if (!reply) break;
      const std::string head =
          "HTTP/1.1 " + std::to_string(reply->status) +
          " Status\r\nContent-Type: " + reply->type +
          "\r\nContent-Length: " + std::to_string(reply->body.size()) +
          "\r\n\r\n";
      if (!WriteAll(fd, head + reply->body)) break;
    }
    ::close(fd);
  }
  Handler handler_;
};

/// The answer to one call on a new connection; status 0: none.
struct Answer {
  int status = 0;
  bool refused = false;  ///< No connection was made.
  std::string body;
};

inline Answer Call(int port, const std::string& method,
                   const std::string& target, const std::string& body,
                   const std::map<std::string, std::string>& headers,
                   int timeout_ms) {
  Answer answer;
  const int fd = ConnectTo(port);
  if (fd < 0) {
    answer.refused = true;
    return answer;
  }
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  if (!headers.contains("Host"))
    text += "Host: 127.0.0.1:" + std::to_string(port) + "\r\n";
  text += "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string buffer;
  HttpMessage message;
  if (WriteAll(fd, text) && ReadHttp(fd, buffer, message, timeout_ms)) {
    answer.status = std::atoi(message.first_line.c_str() +
                              message.first_line.find(' ') + 1);
    answer.body = message.body;
  }
  ::close(fd);
  return answer;
}

// ---- the platform's store: partition 0 of keyed.op, which is all that is read

class Store {
 public:
  Store(int port, Record& record)
      : record_(record), server_(port, [this](const Request& request) {
          return Serve(request);
        }) {}

  void Put(const std::string& key, const std::string& value) {
    {
      const std::lock_guard lock(mutex_);
      records_.emplace_back(key, value);
    }
    changed_.notify_all();
    record_.Write("operator writes op/" + key + " " + value +
                  " (acknowledged)");
  }

 private:
  static std::string BigEndian(std::uint64_t value, int bytes) {
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
      text.push_back(static_cast<char>(value >> (8 * i) & 0xffU));
    return text;
  }
  static std::string Base64(const std::string& text) {
    static constexpr char kDigits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
      std::uint32_t bits = 0;
      for (std::size_t j = 0; j < 3; ++j)
        bits = bits << 8U |
               (i + j < text.size() ? static_cast<unsigned char>(text[i + j])
                                    : 0U);
      for (std::size_t j = 0; j < 4; ++j)
        out.push_back(
            i + j > text.size() ? '=' : kDigits[bits >> (18 - 6 * j) & 63U]);
    }
    return out;
  }
  std::optional<Reply> Serve(const Request& request) {
    std::unique_lock lock(mutex_);
    if (request.path == "/-/log-newest") {
      std::map<std::string, std::size_t> newest;
      for (std::size_t i = 0; i < records_.size(); ++i)
        newest[records_[i].first] = i;
      Json items = Json::array();
      for (const auto& [key, offset] : newest) {
        if (records_[offset].second.empty()) continue;
        items.push_back({{"key", key},
                         {"value", Base64(records_[offset].second)},
                         {"offset", offset}});
      }
      return Reply{200, Json{{"items", items},
                             {"has-more", false},
                             {"end-offset", records_.size()}}
                            .dump()};
    }
    if (request.path != "/-/log-read") return Reply{404, "{}"};
    const std::size_t from = std::stoul(request.Query("from", "0"));
    const auto wait =
        std::chrono::milliseconds(std::stol(request.Query("wait-ms", "0")));
    changed_.wait_for(lock, wait, [&] { return records_.size() > from; });
    std::string body = BigEndian(records_.size(), 8) + BigEndian(0, 8);
    for (std::size_t i = from; i < records_.size(); ++i) {
      const auto& [key, value] = records_[i];
      const std::string content = static_cast<char>(key.size()) + key + value;
      body += BigEndian(content.size(), 4) + content;
    }
    return Reply{200, body, "application/octet-stream"};
  }

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::pair<std::string, std::string>> records_;
  HttpServer server_;
};

// ---- a worker

struct Start {
  std::string task;
  std::uint64_t run = 0;
  std::string worker;
  std::int64_t at = 0;
};

/// All starts at all workers.
class Starts {
 public:
  void Add(Start start) {
    const std::lock_guard lock(mutex_);
    all_.push_back(std::move(start));
  }
  std::vector<Start> All() {
    const std::lock_guard lock(mutex_);
    return all_;
  }

 private:
  std::mutex mutex_;
  std::vector<Start> all_;
};

class Worker {
 public:
  Worker(std::string id, std::string zone, std::string service, int port,
         int agent_port, Record& record, Starts& starts)
      : id_(std::move(id)),
        zone_(std::move(zone)),
        service_(std::move(service)),
        agent_port_(agent_port),
        record_(record),
        starts_(starts),
        born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()),
        server_(port,
                [this](const Request& request) { return Serve(request); }) {
    std::thread([this] {
      while (true) {
        SleepMs(2);
        const std::lock_guard lock(mutex_);
        Advance();
      }
    }).detach();
    std::thread([this] { Announce(); }).detach();
  }

 private:
  struct Run {
    std::string task;
    std::uint64_t run = 0;
    Steady::time_point begun;
    std::int64_t work_ms = 0;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
  };

  std::int64_t Clock() const {
    return 1000 + std::chrono::duration_cast<std::chrono::milliseconds>(
                      Steady::now() - begin_)
                      .count();
  }
  void Advance() {
    const auto now = Steady::now();
    for (std::size_t i = 0; i < running_.size();) {
      const auto ran = std::chrono::duration_cast<std::chrono::milliseconds>(
                           now - running_[i].begun)
                           .count();
      if (ran >= running_[i].work_ms) {
        EndRun(i, "done");
      } else if (Clock() > lease_) {
        EndRun(i, "lapsed");
      } else {
        ++i;
      }
    }
  }
  void EndRun(std::size_t index, const std::string& how) {
    const Run run = running_[index];
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
    std::uint64_t& highest = highest_[run.task];
    highest = std::max(highest, run.run);
    ends_.push_back({next_end_++, run.task, run.run, how});
    record_.Write(id_ + " ends " + run.task + " run " +
                  std::to_string(run.run) + ": " + how);
    changed_.notify_all();
  }
  void Extend(const Json& body) {
    if (!body.contains("deadline-ms")) return;
    lease_ =
        std::max(lease_, std::min(body.at("deadline-ms").get<std::int64_t>(),
                                  Clock() + kMaxHoldMs));
  }
  Reply Rejected(const std::string& reason) const {
    return Reply{
        409, Json{{"clock-ms", Clock()}, {"reason", reason}, {"born", born_}}
                 .dump()};
  }
  std::optional<Reply> Serve(const Request& request) {
    const auto named = request.headers.find("expect-instance");
    const Json body = Json::parse(request.body, nullptr, false);
    std::unique_lock lock(mutex_);
    if (named != request.headers.end() && named->second != id_) {
      return Reply{421, Json{{"clock-ms", Clock()}, {"born", born_}}.dump()};
    }
    if (!body.is_object()) return Reply{400, "{}"};
    const std::uint64_t token = body.value("fencing-token", std::uint64_t{0});
    if (token < token_) return Rejected("fence");
    token_ = token;
    Advance();
    if (request.path == "/-/hold") return Hold(body, lock);
    const std::string task = body.value("task", "");
    const std::uint64_t run = body.value("run", std::uint64_t{0});
    if (request.path == "/-/run-stop") {
      for (std::size_t i = 0; i < running_.size();) {
        if (running_[i].task == task && running_[i].run <= run) {
          EndRun(i, "stopped");
        } else {
          ++i;
        }
      }
      std::uint64_t& highest = highest_[task];
      highest = std::max(highest, run);
    } else if (request.path == "/-/run-start") {
      for (const Run& each : running_) {
        if (each.task == task && each.run == run)
          return Reply{200,
                       Json{{"clock-ms", Clock()}, {"born", born_}}.dump()};
      }
      Extend(body);
      const auto highest = highest_.find(task);
      if (highest != highest_.end() && run <= highest->second)
        return Rejected("old");
      if (lease_ <= Clock()) return Rejected("late");
      const Json spec = Json::parse(body.value("spec", ""), nullptr, false);
      // ID.K.STEP.INDEX: each step has its own amount of work.
      const std::size_t last = task.rfind('.');
      const std::size_t before = task.rfind('.', last - 1);
      const std::size_t step =
          std::stoul(task.substr(before + 1, last - before - 1));
      running_.push_back({task, run, Steady::now(),
                          spec.at("work-ms").at(step).get<std::int64_t>()});
      starts_.Add({task, run, id_, record_.Now()});
      record_.Write(id_ + " starts " + task + " run " + std::to_string(run));
    } else {
      return Reply{404, "{}"};
    }
    return Reply{200, Json{{"clock-ms", Clock()}, {"born", born_}}.dump()};
  }
  Reply Hold(const Json& body, std::unique_lock<std::mutex>& lock) {
    Extend(body);
    const std::uint64_t acked = body.value("acked-through", std::uint64_t{0});
    std::erase_if(ends_, [&](const End& end) { return end.number <= acked; });
    const auto wait =
        std::chrono::milliseconds(std::min(2000, body.value("wait-ms", 0)));
    changed_.wait_for(lock, wait, [&] {
      return !ends_.empty() && ends_.back().number > acked;
    });
    Json running = Json::array();
    for (const Run& run : running_) {
      const auto ran = std::chrono::duration_cast<std::chrono::milliseconds>(
                           Steady::now() - run.begun)
                           .count();
      running.push_back(
          {run.task, run.run, "",
           std::min<std::int64_t>(
               99, 100 * ran / std::max<std::int64_t>(1, run.work_ms)),
           500});
    }
    Json finished = Json::array();
    for (const End& end : ends_) {
      if (finished.size() == 500) break;
      finished.push_back({end.number, end.task, end.run, end.how, ""});
    }
    return Reply{200, Json{{"clock-ms", Clock()},
                           {"born", born_},
                           {"running", running},
                           {"finished", finished}}
                          .dump()};
  }
  void Announce() {
    for (std::uint64_t sequence = 1;; ++sequence) {
      const Json body = {
          {"service", service_},
          {"address", "127.0.0.1:0"},
          {"zone", zone_},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold-left-ms", 0},
          {"capacity", {{"cpu", 32000}, {"mem-mb", 65536}, {"gpu", 0}}},
          {"labels", {"a", "r-" + id_}},
          {"clock-ms", Clock()},
          {"born", born_},
          {"seq", sequence}};
      (void)Call(agent_port_, "POST", "/-/Instances.Heartbeat/" + id_,
                 body.dump(), {}, 1000);
      SleepMs(kHeartbeatMs);
    }
  }

  static constexpr std::int64_t kMaxHoldMs = 1000;
  static constexpr std::int64_t kHeartbeatMs = 1500;
  std::string id_, zone_, service_;
  int agent_port_;
  Record& record_;
  Starts& starts_;
  std::int64_t born_;
  Steady::time_point begin_ = Steady::now();
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t token_ = 0;
  std::int64_t lease_ = 0;
  std::vector<Run> running_;
  std::map<std::string, std::uint64_t> highest_;
  std::vector<End> ends_;
  std::uint64_t next_end_ = 1;
  HttpServer server_;
};

// ---- a proxy before each entry's link address

/// Passes bytes between machines. A cut holds back what goes between an entry
/// and the store, the other entries and all agents but one, both ways, also on
/// new connections; all else passes. What was held back is lost: the
/// connections are reset as the cut heals.
class LinkProxies {
 public:
  /// `from`: who dials; empty if it is to be found in what is sent.
  void Add(const std::string& entry, int listen_port, int target_port,
           const std::string& from = "") {
    const int listener = ListenOn(listen_port);
    std::thread([this, entry, listener, target_port, from] {
      while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        std::thread([this, entry, fd, target_port, from] {
          Pass(entry, fd, target_port, from);
        }).detach();
      }
    }).detach();
  }
  void Cut(const std::string& entry, const std::string& reachable_agent) {
    const std::lock_guard lock(mutex_);
    cut_ = entry;
    reachable_agent_ = reachable_agent;
  }
  void Heal() {
    const std::lock_guard lock(mutex_);
    cut_.clear();
  }

 private:
  bool IsCut(const std::string& from, const std::string& to) {
    const std::lock_guard lock(mutex_);
    if (cut_.empty() || from.empty()) return false;
    return from == cut_ || (to == cut_ && from != reachable_agent_);
  }
  /// The name of the process that dialled, from its first WebSocket frame.
  static std::string NameIn(const std::string& bytes) {
    const std::size_t head = bytes.find("\r\n\r\n");
    if (head == std::string::npos || bytes.size() < head + 12) return "";
    std::size_t at = head + 5;
    std::size_t length = static_cast<unsigned char>(bytes[at++]) & 0x7fU;
    if (length == 126) at += 2;
    if (length == 127) at += 8;
    if (bytes.size() < at + 60) return "";
    const std::string mask = bytes.substr(at, 4);
    at += 4;
    std::string plain;
    for (std::size_t i = 0; at + i < bytes.size(); ++i)
      plain.push_back(static_cast<char>(bytes[at + i] ^ mask[i % 4]));
    for (const char* prefix : {"entry-", "agent-"}) {
      const std::size_t found = plain.find(prefix);
      if (found != std::string::npos && found + 7 <= plain.size())
        return plain.substr(found, 7);
    }
    return "";
  }
  static void ResetAndClose(int fd) {
    const linger now{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(fd);
  }
  void Pass(const std::string& entry, int client, int target_port,
            const std::string& from) {
    const int server = ConnectTo(target_port);
    if (server < 0) {
      ResetAndClose(client);
      return;
    }
    const int one = 1;
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    std::string sent;  // by the client, until it is known who it is
    std::string held;  // by the server after its handshake, until then
    std::string name = from;
    bool handshake = !from.empty();  // the server's has been passed on
    bool was_cut = false;
    while (true) {
      const bool cut = IsCut(name, entry);
      if (was_cut && !cut) break;  // Healed: what was under way is lost.
      was_cut = cut;
      pollfd ends[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
      if (cut) {
        SleepMs(5);  // Nothing passes, not even the end of a connection.
        continue;
      }
      if (::poll(ends, 2, 5) < 0) break;
      char bytes[65536];
      bool over = false;
      if (ends[0].revents != 0) {
        const auto read = ::recv(client, bytes, sizeof bytes, 0);
        if (read <= 0) {
          over = true;
        } else {
          const std::string text(bytes, static_cast<std::size_t>(read));
          if (name.empty()) {
            sent += text;
            name = NameIn(sent);
            if (!name.empty() && IsCut(name, entry)) continue;
          }
          over = !WriteAll(server, text);
        }
      }
      if (!over && ends[1].revents != 0) {
        const auto read = ::recv(server, bytes, sizeof bytes, 0);
        if (read <= 0) {
          over = true;
        } else {
          held.append(bytes, static_cast<std::size_t>(read));
          const std::size_t head = handshake ? 0 : held.find("\r\n\r\n");
          if (!handshake && head != std::string::npos) {
            over = !WriteAll(client, held.substr(0, head + 4));
            held.erase(0, head + 4);
            handshake = true;
          }
        }
      }
      if (!over && !name.empty() && !held.empty()) {
        over = !WriteAll(client, held);
        held.clear();
      }
      if (over) break;
    }
    ResetAndClose(client);
    ResetAndClose(server);
  }

  std::mutex mutex_;
  std::string cut_;
  std::string reachable_agent_;
};

// ---- the project's programs

class Processes {
 public:
  explicit Processes(std::string folder) : folder_(std::move(folder)) {}
  pid_t Spawn(const std::string& name, const std::string& program,
              const std::string& settings) {
    const std::string file = folder_ + "/" + name + ".ini";
    std::FILE* out = std::fopen(file.c_str(), "w");
    std::fputs(settings.c_str(), out);
    std::fclose(out);
    const std::string log = folder_ + "/" + name + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with this process.
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::execl(program.c_str(), program.c_str(), "--settings", file.c_str(),
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
    pids_[name] = pid;
    return pid;
  }
  void Kill(const std::string& name, int signal) {
    const auto found = pids_.find(name);
    if (found == pids_.end()) return;
    ::kill(found->second, signal);
    if (signal == SIGKILL) {
      int status = 0;
      ::waitpid(found->second, &status, 0);
      pids_.erase(found);
    }
  }
  /// The names of those that have ended by themselves.
  std::vector<std::string> Ended() {
    std::vector<std::string> ended;
    for (const auto& [name, pid] : pids_) {
      int status = 0;
      if (::waitpid(pid, &status, WNOHANG) == pid) ended.push_back(name);
    }
    return ended;
  }
  void StopAll() {
    while (!pids_.empty()) Kill(pids_.begin()->first, SIGKILL);
  }

 private:
  std::string folder_;
  std::map<std::string, pid_t> pids_;
};

// ---- a site

struct SiteOptions {
  int entries = 3;
  int agents = 3;
  std::vector<int> seeds = {0, 1, 2};  ///< At most three entries.
};

class Site {
 public:
  Site(SiteOptions options, const std::string& folder, Record& record)
      : options_(std::move(options)),
        record_(record),
        store_port_(FreePort()),
        store_(store_port_, record),
        processes_(folder) {
    std::set<int> ports;
    for (int i = 0; i < options_.entries; ++i) {
      entries_.push_back({FreePort(), FreePort(), FreePort(), FreePort(),
                          FreePort(), FreePort()});
    }
    for (int i = 0; i < options_.agents; ++i)
      agents_.push_back({FreePort(), FreePort(), FreePort()});
  }

  static std::string EntryName(int entry) {
    return "entry-" + std::string(1, static_cast<char>('a' + entry));
  }
  static std::string At(int port) {
    return "127.0.0.1:" + std::to_string(port);
  }

  /// `less(i, j)` link addresses decide who dials whom: sorts the entries by
  /// them.
  void SortEntriesByLinkAddress() {
    std::sort(entries_.begin(), entries_.end(),
              [](const Entry& a, const Entry& b) {
                return At(a.proxy) < At(b.proxy);
              });
  }

  void StartAll() {
    for (int i = 0; i < options_.entries; ++i) {
      proxies_.Add(EntryName(i), entries_[i].proxy, entries_[i].link);
      proxies_.Add("store", entries_[i].store, store_port_, EntryName(i));
    }
    for (int i = 0; i < options_.entries; ++i) StartEntry(i);
    for (int i = 0; i < options_.agents; ++i) {
      StartAgent(i);
      workers_.push_back(std::make_unique<Worker>(
          "i-" + std::to_string(i), "zone-" + std::to_string(i), "desk",
          agents_[i].app, agents_[i].registration, record_, starts_));
    }
  }
  void StartAgent(int agent) {
    const std::string name = "agent-" + std::to_string(agent);
    const Agent& a = agents_[agent];
    processes_.Spawn(
        name, "target/geranium-agent",
        "[agent]\nid = " + name + "\nregistration_address = " +
            At(a.registration) + "\nworker_address = " + At(a.app) +
            "\nlongest_lease_ms = 1000\nmetrics_address = " + At(a.metrics) +
            "\ngrace_s = 6\n\n[peers]\nentries = " + Seeds() +
            "\n\n[platform]\nstore_address = " + At(store_port_) + "\n");
  }
  void StartEntry(int entry) {
    const Entry& e = entries_[entry];
    processes_.Spawn(
        EntryName(entry), "target/geranium-entry",
        "[entry]\nid = " + EntryName(entry) + "\ndata_centre = zone-" +
            std::to_string(entry) + "\nlink_address = " + At(e.proxy) +
            "\nlink_listen_address = " + At(e.link) + "\ncaller_address = " +
            At(e.caller) + "\nready_address = " + At(e.ready) +
            "\nmetrics_address = " + At(e.metrics) +
            "\ngrace_s = 6\n\n[peers]\nentries = " + Seeds() +
            "\n\n[platform]\nstore_address = " + At(e.store) + "\n");
  }
  /// False if not all entries have been ready in time.
  bool WaitUntilReady() {
    for (int tries = 0; tries < 200; ++tries) {
      bool ready = true;
      for (const Entry& entry : entries_) {
        ready =
            ready &&
            Call(entry.ready, "GET", "/-/readyz", "", {}, 500).status == 200;
      }
      if (ready) return true;
      SleepMs(50);
    }
    return false;
  }
  void Publish(int version, const std::vector<std::string>& queues) {
    Json routes = Json::array();
    for (const std::string& queue : queues) {
      routes.push_back({{"name", queue},
                        {"host", "site.example"},
                        {"path-prefix", "/" + queue + "/"},
                        {"service", "desk"},
                        {"priority", 1},
                        {"max-attempts", 4},
                        {"slack-factor", 1.5},
                        {"target-latency-ms", 1000}});
    }
    store_.Put(
        "config",
        Json{{"version", version},
             {"routes", routes},
             {"services", {{{"name", "desk"}, {"rejects-overload", false}}}},
             {"limits", {{"max-body-bytes", 262144}}}}
            .dump());
  }
  /// Submits a job of `work_ms.size()` steps, each after the one before it.
  /// `label`: what the workers must have; empty: any worker will do.
  Answer Submit(int entry, const std::string& queue, const std::string& id,
                const std::vector<int>& work_ms, int timeout_ms,
                const std::string& label = "") {
    Json steps = Json::array();
    for (std::size_t i = 0; i < work_ms.size(); ++i) {
      Json step = {{"count", 2},
                   {"cpu", 500},
                   {"mem-mb", 64},
                   {"estimated-ms", work_ms[i]}};
      if (!label.empty()) step["requirements"] = label;
      if (i > 0) step["depends-on"] = {i - 1};
      steps.push_back(step);
    }
    const Json body = {{"spec", Json{{"work-ms", work_ms}}.dump()},
                       {"best-effort", true},
                       {"steps", steps}};
    record_.Write("client sends POST /" + queue + "/" + id + " to " +
                  EntryName(entry));
    const Answer answer = Call(
        entries_[entry].caller, "POST", "/" + queue + "/" + id, body.dump(),
        {{"Host", "site.example"},
         {"Request-Deadline", std::to_string(timeout_ms)}},
        timeout_ms);
    record_.Write("client gets " + std::to_string(answer.status) + " " +
                  answer.body + " to POST /" + queue + "/" + id);
    return answer;
  }
  /// One DELETE; refusals to connect are not recorded.
  Answer Cancel(int entry, const std::string& queue, const std::string& id) {
    const Answer answer =
        Call(entries_[entry].caller, "DELETE", "/" + queue + "/" + id, "",
             {{"Host", "site.example"}, {"Request-Deadline", "1500"}}, 1500);
    if (!answer.refused) {
      record_.Write("client gets " + std::to_string(answer.status) + " " +
                    answer.body + " to DELETE /" + queue + "/" + id + " from " +
                    EntryName(entry));
    }
    return answer;
  }

  LinkProxies& proxies() { return proxies_; }
  Processes& processes() { return processes_; }
  Starts& starts() { return starts_; }
  Record& record() { return record_; }

 private:
  struct Entry {
    int proxy, link, caller, ready, metrics, store;
  };
  struct Agent {
    int registration, app, metrics;
  };
  std::string Seeds() const {
    std::string seeds;
    for (const int seed : options_.seeds)
      seeds += (seeds.empty() ? "" : ",") + At(entries_[seed].proxy);
    return seeds;
  }

  SiteOptions options_;
  Record& record_;
  Starts starts_;
  int store_port_;
  Store store_;
  LinkProxies proxies_;
  std::vector<Entry> entries_;
  std::vector<Agent> agents_;
  std::vector<std::unique_ptr<Worker>> workers_;
  Processes processes_;
};

/// Starts of the job's tasks later than `limit`, on the record's clock.
inline std::vector<Start> StartsAfter(Site& site, const std::string& job,
                                      std::int64_t limit) {
  std::vector<Start> late;
  for (const Start& start : site.starts().All()) {
    if (start.task.starts_with(job + ".") && start.at > limit)
      late.push_back(start);
  }
  return late;
}

}  // namespace review

#endif  // REVIEW_SITE_H_
