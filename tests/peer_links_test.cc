#include "runtime/peer_links.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace geranium {
namespace {

/// The first free one of these is used.
constexpr int kFirstPort = 27'930;
constexpr int kLastPort = 27'990;
constexpr std::chrono::seconds kTimeLimit{5};

/// Two ends of a link on one thread. The second end fails at some messages.
class PeerLinksTest {
 protected:
  PeerLinksTest()
      : first_(io_, io_,
               {[this](LinkId link) { first_link_ = link; },
                [](LinkId /*link*/, const Message& /*message*/) {},
                [this](LinkId /*link*/) { ++first_downs_; }, [] {}},
               1),
        second_(io_, io_,
                {[this](LinkId /*link*/) { ++second_ups_; },
                 [this](LinkId /*link*/, const Message& message) {
                   const auto& job = std::get<JobHandedOver>(message).job;
                   if (job == failing_) throw std::out_of_range("map::at");
                   received_.push_back(job.value());
                 },
                 [this](LinkId /*link*/) { ++second_downs_; },
                 [this] { ++frames_; }},
                2) {
    first_.Connect(Listen());
    RunUntil([this] { return second_ups_ == 1 && first_link_.has_value(); });
  }

  ~PeerLinksTest() {
    first_.Stop();
    second_.Stop();
    io_.run_for(std::chrono::milliseconds(50));
  }

  std::string Listen() {
    for (int port = kFirstPort; port <= kLastPort; ++port) {
      const std::string address = "127.0.0.1:" + std::to_string(port);
      if (second_.Listen(address).empty()) return address;
    }
    throw std::runtime_error("no free port");
  }

  template <class Condition>
  void RunUntil(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kTimeLimit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      io_.run_for(std::chrono::milliseconds(5));
    }
    REQUIRE(condition());
  }

  void SendJobs(const std::vector<std::string>& jobs) {
    for (const std::string& job : jobs) {
      first_.Send(*first_link_, JobHandedOver{StepJobId(job)});
    }
    first_.Flush();
  }

  boost::asio::io_context io_;
  std::optional<LinkId> first_link_;
  int first_downs_ = 0;
  int second_ups_ = 0;
  int second_downs_ = 0;
  int frames_ = 0;
  const StepJobId failing_{"failing"};
  std::vector<std::string> received_;
  PeerLinks first_;
  PeerLinks second_;
};

// What follows in the frame is lost, for example the end of a run, which is
// sent again only on a new link.
TEST_CASE_METHOD(PeerLinksTest,
                 "PeerLinks with a handler that fails at a message resets the "
                 "link and links again") {
  SendJobs({"a", "failing", "b"});
  RunUntil([this] { return second_ups_ == 2; });
  CHECK(second_downs_ == 1);
  CHECK(first_downs_ == 1);
  CHECK(second_.frames_rejected() == 1);
  SendJobs({"c"});
  RunUntil([this] { return received_.size() == 2; });
  CHECK(received_ == std::vector<std::string>{"a", "c"});
}

TEST_CASE_METHOD(
    PeerLinksTest,
    "PeerLinks with messages of one flush delivers them in order") {
  const int frames = frames_;
  SendJobs({"a", "b", "c"});
  RunUntil([this] { return received_.size() == 3; });
  CHECK(received_ == std::vector<std::string>{"a", "b", "c"});
  CHECK(frames_ == frames + 1);
  CHECK(second_.frames_rejected() == 0);
}

}  // namespace
}  // namespace geranium
