#include "wire/http_handles.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/list.h"
#include "wire/http_socket.h"

typedef struct open_socket
{
  list_t link;
  int fd;
} open_socket_t;

struct http_handles
{
  list_t sockets; /* of all connections */
  CURLM *multi;
  CURL **idle; /* malloc'd; easy handles for reuse */
  size_t n_idle;
  size_t idle_capacity;
};

http_handles_t *
http_handles_new (long connections_cached)
{
  http_handles_t *handles = calloc (1, sizeof *handles);
  if (!handles)
    abort ();
  list_init (&handles->sockets);
  handles->multi = curl_multi_init ();
  if (!handles->multi)
    abort ();
  curl_multi_setopt (handles->multi, CURLMOPT_MAXCONNECTS, connections_cached);
  return handles;
}

void
http_handles_free (http_handles_t *handles)
{
  for (size_t i = 0; i < handles->n_idle; i++)
    curl_easy_cleanup (handles->idle[i]);
  free (handles->idle);
  curl_multi_cleanup (handles->multi);
  LIST_FOREACH (link, &handles->sockets)
  free (LIST_ENTRY (link, open_socket_t, link));
  free (handles);
}

CURLM *
http_handles_multi (const http_handles_t *handles)
{
  return handles->multi;
}

static CURL *
take_idle (http_handles_t *handles)
{
  CURL *easy = NULL;
  if (handles->n_idle > 0)
    {
      easy = handles->idle[--handles->n_idle];
      curl_easy_reset (easy);
    }
  else
    easy = curl_easy_init ();
  if (!easy)
    abort ();
  return easy;
}

static void
forget_socket (http_handles_t *handles, int fd)
{
  LIST_FOREACH (link, &handles->sockets)
  {
    open_socket_t *socket = LIST_ENTRY (link, open_socket_t, link);
    if (socket->fd != fd)
      continue;
    list_remove (link);
    free (socket);
  }
}

static curl_socket_t
open_socket (void *closure, curlsocktype purpose, struct curl_sockaddr *to)
{
  http_handles_t *handles = closure;
  (void)purpose;
  int fd = socket (to->family, to->socktype | SOCK_CLOEXEC, to->protocol);
  if (fd < 0)
    return CURL_SOCKET_BAD;
  open_socket_t *opened = calloc (1, sizeof *opened);
  if (!opened)
    abort ();
  opened->fd = fd;
  forget_socket (handles, fd);
  list_push_back (&handles->sockets, &opened->link);
  return fd;
}

static int
close_socket (void *closure, curl_socket_t fd)
{
  forget_socket (closure, fd);
  return close (fd);
}

static bool
is_name (const struct sockaddr_in *name, const char *address, int port)
{
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop (AF_INET, &name->sin_addr, text, sizeof text);
  return ntohs (name->sin_port) == port && strcmp (text, address) == 0;
}

int
http_handles_socket (const http_handles_t *handles, const char *remote,
                     int remote_port, int local_port)
{
  LIST_FOREACH (link, &handles->sockets)
  {
    const open_socket_t *opened = LIST_ENTRY (link, open_socket_t, link);
    struct sockaddr_in local = { 0 };
    struct sockaddr_in peer = { 0 };
    socklen_t local_length = sizeof local;
    socklen_t peer_length = sizeof peer;
    if (getsockname (opened->fd, (struct sockaddr *)&local, &local_length) == 0
        && getpeername (opened->fd, (struct sockaddr *)&peer, &peer_length)
               == 0
        && ntohs (local.sin_port) == local_port
        && is_name (&peer, remote, remote_port))
      return opened->fd;
  }
  return -1;
}

CURL *
http_handles_take (http_handles_t *handles, const http_transfer_t *transfer)
{
  CURL *easy = take_idle (handles);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_INTERFACE, transfer->own_address);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long)(transfer->timeout / USEC_PER_MSEC + 1));
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, transfer->idle_seconds);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, http_socket_set_options);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, handles);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, handles);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, transfer->on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer->owner);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, transfer->on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, transfer->owner);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, transfer->on_connection);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, transfer->owner);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer->owner);
  return easy;
}

void
http_handles_give_back (http_handles_t *handles, CURL *easy)
{
  curl_multi_remove_handle (handles->multi, easy);
  if (handles->n_idle == handles->idle_capacity)
    {
      handles->idle_capacity
          = handles->idle_capacity ? 2 * handles->idle_capacity : 16;
      handles->idle
          = realloc (handles->idle, handles->idle_capacity * sizeof (CURL *));
      if (!handles->idle)
        abort ();
    }
  handles->idle[handles->n_idle++] = easy;
}

void *
http_handles_ended (http_handles_t *handles, CURLcode *code)
{
  int left = 0;
  CURLMsg *message;
  while ((message = curl_multi_info_read (handles->multi, &left)))
    {
      if (message->msg != CURLMSG_DONE)
        continue;
      char *owner = NULL;
      *code = message->data.result;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &owner);
      return owner;
    }
  return NULL;
}

bool
http_response_has_ended (const answer_head_t *head, framing_kind_t kind,
                         uint64_t n_read, const chunk_decoder_t *chunks)
{
  if (!answer_head_is_final (head))
    return false;
  switch (kind)
    {
    case FRAMING_NO_BODY:
      return true;
    case FRAMING_LENGTH:
      return n_read == head->framing.length;
    case FRAMING_CHUNKS:
      return chunk_decoder_has_ended (chunks);
    case FRAMING_UNTIL_CLOSE:
    case FRAMING_INVALID:
      break;
    }
  return false;
}

bool
http_connection_was_refused (CURL *easy, CURLcode code)
{
  long connect_errno = 0;
  curl_easy_getinfo (easy, CURLINFO_OS_ERRNO, &connect_errno);
  return code == CURLE_COULDNT_CONNECT && connect_errno == ECONNREFUSED;
}

CURLcode
http_transfer_result (CURLcode code, bool has_ended)
{
  bool is_cut = code == CURLE_SEND_ERROR || code == CURLE_RECV_ERROR;
  return is_cut && has_ended ? CURLE_OK : code;
}

/* libcurl reports success if an ordinary close ends a response, also within
   its head.  */
static bool
ends_by_close (const answer_head_t *head, bool is_head)
{
  return !head->has_ended
         || response_framing_kind (&head->framing, is_head, head->status)
                == FRAMING_UNTIL_CLOSE;
}

connection_end_t
http_connection_end (CURLcode code, const answer_head_t *head, bool is_head)
{
  switch (code)
    {
    case CURLE_OK:
      return ends_by_close (head, is_head) ? CONNECTION_CLOSED
                                           : CONNECTION_KEPT;
    case CURLE_PARTIAL_FILE:
    case CURLE_GOT_NOTHING:
      return CONNECTION_CLOSED;
    case CURLE_OPERATION_TIMEDOUT:
      return CONNECTION_TIMED_OUT;
    case CURLE_WRITE_ERROR:
      return CONNECTION_REJECTED;
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
      return CONNECTION_RESET;
    case CURLE_ABORTED_BY_CALLBACK: /* of a retry of libcurl's own */
    case CURLE_COULDNT_CONNECT:     /* for such a retry */
      return CONNECTION_LOST;
    default:
      return CONNECTION_MALFORMED;
    }
}
