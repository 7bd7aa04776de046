#include "runtime/peer_links.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "link/codec.h"

namespace geranium {
namespace {

constexpr Duration kFirstDialWait{50};

}  // namespace

PeerLinks::PeerLinks(boost::asio::io_context& control,
                     boost::asio::io_context& traffic, Handlers handlers,
                     std::uint64_t seed, Duration longest_dial_wait)
    : control_(control),
      traffic_(traffic),
      handlers_(std::move(handlers)),
      random_(seed),
      longest_dial_wait_(longest_dial_wait) {
  WebSocketNode::Handlers sockets;
  sockets.on_open = [this](std::uint64_t id, const std::string& dialled) {
    OnOpen(id, dialled);
  };
  sockets.on_message = [this](std::uint64_t id, const std::string& bytes) {
    OnBytes(id, bytes);
  };
  sockets.on_close = [this](std::uint64_t id) { OnClose(id); };
  sockets.on_dial_failed = [this](const std::string& address,
                                  const std::string& /*why*/) {
    DialLater(address);
  };
  sockets_ = std::make_unique<WebSocketNode>(traffic, std::move(sockets));
}

PeerLinks::~PeerLinks() = default;

std::string PeerLinks::Listen(const std::string& address) {
  return sockets_->Listen(address);
}

void PeerLinks::Keep(const std::string& address) {
  boost::asio::post(traffic_, [this, address] {
    kept_.insert(address);
    if (pending_.insert(address).second) sockets_->Dial(address);
  });
}

void PeerLinks::Release(const std::string& address) {
  boost::asio::post(traffic_, [this, address] {
    kept_.erase(address);
    for (const auto& [id, dialled] : dialled_) {
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

void PeerLinks::Cut(LinkId link) {
  outgoing_.erase(link);
  boost::asio::post(traffic_, [this, link] { sockets_->Reset(link.value()); });
}

void PeerLinks::Flush() {
  for (auto& [link, frame] : outgoing_) {
    boost::asio::post(traffic_,
                      [this, id = link.value(), frame = std::move(frame)] {
                        const std::string bytes = EncodeFrame(frame);
                        ++frames_sent_;
                        bytes_sent_ += bytes.size();
                        sockets_->Send(id, bytes);
                      });
  }
  outgoing_.clear();
}

void PeerLinks::Stop() {
  boost::asio::post(traffic_, [this] {
    stopping_ = true;
    sockets_->Stop();
  });
}

void PeerLinks::OnOpen(std::uint64_t id, const std::string& dialled) {
  if (!dialled.empty()) {
    dialled_[id] = dialled;
    dial_waits_.erase(dialled);
    if (!kept_.contains(dialled)) sockets_->Close(id);
  }
  boost::asio::post(control_, [this, id] {
    handlers_.on_up(LinkId(id));
    handlers_.after_frame();
  });
}

void PeerLinks::OnBytes(std::uint64_t id, const std::string& bytes) {
  auto frame = DecodeFrame(bytes);
  if (!frame) {
    // A peer that sends what cannot be read is not one of ours.
    sockets_->Close(id);
    return;
  }
  boost::asio::post(control_, [this, id, frame = std::move(frame.value())] {
    for (const Message& message : frame) {
      handlers_.on_message(LinkId(id), message);
    }
    handlers_.after_frame();
  });
}

void PeerLinks::OnClose(std::uint64_t id) {
  boost::asio::post(control_, [this, id] {
    handlers_.on_down(LinkId(id));
    handlers_.after_frame();
  });
  const auto found = dialled_.find(id);
  if (found == dialled_.end()) return;
  const std::string address = found->second;
  dialled_.erase(found);
  DialLater(address);
}

void PeerLinks::DialLater(const std::string& address) {
  if (stopping_) return;
  Duration& wait =
      dial_waits_.try_emplace(address, kFirstDialWait).first->second;
  auto timer = std::make_shared<boost::asio::steady_timer>(
      traffic_, std::chrono::milliseconds(random_.Jitter(wait).ms()));
  wait = std::min(longest_dial_wait_, wait * 2);
  timer->async_wait([this, timer, address](const auto& error) {
    if (!error && !stopping_) DialIfKept(address);
  });
}

void PeerLinks::DialIfKept(const std::string& address) {
  if (kept_.contains(address)) {
    sockets_->Dial(address);
  } else {
    pending_.erase(address);
    dial_waits_.erase(address);
  }
}

}  // namespace geranium
