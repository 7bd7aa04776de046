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

/// Opens a link to a newly discovered entry.
struct ConnectEntry {
  std::string address;
};

/// Closes the link to an entry and stops dialling it.
struct DisconnectEntry {
  std::string address;
};

/// Resets an unresponsive link; the side that dialled it dials again.
struct CloseLink {
  LinkId link;
};

}  // namespace geranium

#endif  // GERANIUM_LINK_ACTIONS_H_
