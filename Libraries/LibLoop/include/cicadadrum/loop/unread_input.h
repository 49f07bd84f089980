// Tells whether bytes wait on a connection that should be silent.

#ifndef CICADADRUM_LOOP_UNREAD_INPUT_H_
#define CICADADRUM_LOOP_UNREAD_INPUT_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <cerrno>

namespace cicadadrum {

// Returns whether bytes, the end of the stream or an error wait in the buffer
// or in the socket of a connected bufferevent.
inline bool HasUnreadInput(bufferevent* bev) {
  if (evbuffer_get_length(bufferevent_get_input(bev)) > 0)
    return true;
  char byte = 0;
  const ssize_t received =
      recv(bufferevent_getfd(bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EINTR);
}

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_UNREAD_INPUT_H_
