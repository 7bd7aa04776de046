#ifndef GERANIUM_LINK_ACTIONS_H_
#define GERANIUM_LINK_ACTIONS_H_

#include <string>

#include "base/ids.h"
#include "link/messages.h"

namespace geranium {

/// Sends a message to the peer at a link.
struct SendMessage {
  LinkId link;
  Message message;
};

/// Opens a link to an entry that the process has learnt of.
struct ConnectEntry {
  std::string address;
};

/// Closes the link to an entry and dials it no more.
struct DisconnectEntry {
  std::string address;
};

/// Cuts a link that has gone silent; whoever dialled it dials again.
struct CloseLink {
  LinkId link;
};

}  // namespace geranium

#endif  // GERANIUM_LINK_ACTIONS_H_
