#include "runtime/peer_links.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <exception>
#include <utility>

#include "link/codec.h"

namespace geranium {
namespace {

constexpr Duration kMinDialDelay{50};
/// Frames end with the message that takes them to this size. A peer's first
/// frame may have twice as much.
constexpr std::size_t kMaxFrameBytes = 131'072;

}  // namespace

PeerLinks::PeerLinks(boost::asio::io_context& control,
                     boost::asio::io_context& traffic, Handlers handlers,
                     std::uint64_t seed, Duration max_dial_delay)
    : control_(control),
      traffic_(traffic),
      handlers_(std::move(handlers)),
      random_(seed),
      max_dial_delay_(max_dial_delay) {
  WebSocketNode::Handlers sockets;
  sockets.on_open = [this](std::uint64_t id, const std::string& dialled) {
    OnOpen(id, dialled);
  };
  sockets.on_message = [this](std::uint64_t id, const std::string& bytes) {
    OnBytes(id, bytes);
  };
  sockets.on_close = [this](std::uint64_t id) { OnClose(id); };
  sockets.on_dial_failed = [this](const std::string& address,
                                  const std::string& /*reason*/) {
    DialLater(address);
  };
  sockets_ = std::make_unique<WebSocketNode>(traffic, std::move(sockets));
}

PeerLinks::~PeerLinks() = default;

std::string PeerLinks::Listen(const std::string& address) {
  return sockets_->Listen(address);
}

void PeerLinks::Connect(const std::string& address) {
  boost::asio::post(traffic_, [this, address] {
    wanted_addresses_.insert(address);
    if (active_addresses_.insert(address).second) sockets_->Dial(address);
  });
}

void PeerLinks::Disconnect(const std::string& address) {
  boost::asio::post(traffic_, [this, address] {
    wanted_addresses_.erase(address);
    for (const auto& [id, dialled] : address_by_link_) {
      if (dialled == address) {
        sockets_->Close(id);
        return;
      }
    }
  });
}

void PeerLinks::Send(LinkId link, Message message) {
  outgoing_[link].push_back(std::move(message));
}

void PeerLinks::Reset(LinkId link) {
  outgoing_.erase(link);
  boost::asio::post(traffic_, [this, link] { sockets_->Reset(link.value()); });
}

void PeerLinks::Flush() {
  for (auto& [link, frame] : outgoing_) {
    boost::asio::post(traffic_,
                      [this, id = link.value(), frame = std::move(frame)] {
                        SendFrames(id, frame);
                      });
  }
  outgoing_.clear();
}

void PeerLinks::SendFrames(std::uint64_t id, const Frame& frame) {
  for (const std::string& bytes : EncodeFrames(frame, kMaxFrameBytes)) {
    ++frames_sent_;
    bytes_sent_ += bytes.size();
    if (sockets_->Send(id, bytes)) continue;
    ++overfull_links_;
    log_.Write(LogMessage{LogLevel::kError, "link_overfull",
                          Describe(id, "the peer leaves too much unread")},
               clock_.Now());
    sockets_->Reset(id);
    return;
  }
}

void PeerLinks::Stop() {
  boost::asio::post(traffic_, [this] {
    stopping_ = true;
    sockets_->Stop();
  });
}

void PeerLinks::OnOpen(std::uint64_t id, const std::string& dialled) {
  if (!dialled.empty()) {
    address_by_link_[id] = dialled;
    dial_delays_.erase(dialled);
    if (!wanted_addresses_.contains(dialled)) sockets_->Close(id);
  }
  boost::asio::post(control_, [this, id] {
    handlers_.on_up(LinkId(id));
    handlers_.after_frame();
  });
}

void PeerLinks::OnBytes(std::uint64_t id, const std::string& bytes) {
  auto frame = DecodeFrame(bytes);
  if (!frame) {
    RejectFrame(id, frame.error().message);
    return;
  }
  if (!frame.value().empty()) sockets_->SetIdentified(id);
  boost::asio::post(control_, [this, id, frame = std::move(frame.value())] {
    HandleFrame(LinkId(id), frame);
  });
}

void PeerLinks::HandleFrame(LinkId link, const Frame& frame) {
  try {
    for (const Message& message : frame) handlers_.on_message(link, message);
  } catch (const std::exception& error) {
    boost::asio::post(traffic_, [this, id = link.value(),
                                 reason = std::string(error.what())] {
      RejectFrame(id, reason);
    });
  }
  handlers_.after_frame();
}

// What the rest of the frame said is lost. On a new link both ends tell each
// other again what they hold.
void PeerLinks::RejectFrame(std::uint64_t id, const std::string& reason) {
  ++frames_rejected_;
  log_.Write(
      LogMessage{LogLevel::kError, "frame_rejected", Describe(id, reason)},
      clock_.Now());
  sockets_->Reset(id);
}

LogFields PeerLinks::Describe(std::uint64_t id,
                              const std::string& reason) const {
  const auto dialled = address_by_link_.find(id);
  const bool is_dialled = dialled != address_by_link_.end();
  return {{"link", std::to_string(id)},
          {"address", is_dialled ? dialled->second : ""},
          {"message", reason}};
}

void PeerLinks::OnClose(std::uint64_t id) {
  boost::asio::post(control_, [this, id] {
    handlers_.on_down(LinkId(id));
    handlers_.after_frame();
  });
  const auto found = address_by_link_.find(id);
  if (found == address_by_link_.end()) return;
  const std::string address = found->second;
  address_by_link_.erase(found);
  DialLater(address);
}

void PeerLinks::DialLater(const std::string& address) {
  if (stopping_) return;
  Duration& delay =
      dial_delays_.try_emplace(address, kMinDialDelay).first->second;
  auto timer = std::make_shared<boost::asio::steady_timer>(
      traffic_, std::chrono::milliseconds(random_.Jitter(delay).ms()));
  delay = std::min(max_dial_delay_, delay * 2);
  timer->async_wait([this, timer, address](const auto& error) {
    if (!error && !stopping_) DialIfWanted(address);
  });
}

void PeerLinks::DialIfWanted(const std::string& address) {
  if (wanted_addresses_.contains(address)) {
    sockets_->Dial(address);
  } else {
    active_addresses_.erase(address);
    dial_delays_.erase(address);
  }
}

}  // namespace geranium
