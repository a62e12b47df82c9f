/* fleet.x: calls between directors, and from routers to a director.  Sizes
   bound what a peer may send. */

const FLEET_NAME_BYTES_MAX = 47;
const FLEET_ID_BYTES_MAX = 63;
const FLEET_CONFIG_BYTES_MAX = 900000;
const FLEET_MESSAGE_BYTES_MAX = 1000000;
const FLEET_PACKED_BYTES_MAX = 950000;
const FLEET_WIRE_BACKENDS_MAX = 8192;
const FLEET_WIRE_ROUTERS_MAX = 2048;
const FLEET_WIRE_DOMAINS_MAX = 128;
const FLEET_WIRE_DIRECTORS_MAX = 63;
const FLEET_WIRE_DELTAS_MAX = 32;
const FLEET_WIRE_SUSPECTS_MAX = 64;
const FLEET_WIRE_CRASHES_MAX = 32;
const FLEET_WIRE_QUARANTINED_MAX = 256;
const FLEET_WIRE_NOTICES_MAX = 64;
const FLEET_WIRE_RELEASES_MAX = 32;
const FLEET_WIRE_USAGES_MAX = 256;
const FLEET_WIRE_TOTALS_MAX = 1024;
const FLEET_WIRE_LOADS_MAX = 1024;
const FLEET_WIRE_COLDS_MAX = 1024;
const FLEET_WIRE_TOLD_COLDS_MAX = 64;
const FLEET_ITEMS_MAX = 32;
const FLEET_ITEM_BYTES_MAX = 65536;

struct fleet_router_t
{
  string vm<FLEET_NAME_BYTES_MAX>;
  string domain<FLEET_NAME_BYTES_MAX>;
  string region<FLEET_NAME_BYTES_MAX>;
  uint32_t address;
  uint32_t port;
  uint64_t incarnation;
  bool takes_requests;
  bool is_cut_off; /* it reaches no backend server */
  int64_t age; /* usec since the router said so */
};

struct fleet_backend_t
{
  string id<FLEET_ID_BYTES_MAX>;
  string service<FLEET_NAME_BYTES_MAX>;
  string domain<FLEET_NAME_BYTES_MAX>;
  uint32_t address;
  uint32_t port;
  bool is_draining;
  uint32_t slots;
  int64_t cold_left;  /* usec, when the list was read */
  int64_t started_at; /* msec since 1970 */
  int64_t cold_mark;  /* differs for each time that it became cold; 0: none */
};

struct fleet_list_t
{
  fleet_backend_t backends<FLEET_WIRE_BACKENDS_MAX>;
};

typedef string fleet_name_t<FLEET_NAME_BYTES_MAX>;
typedef string fleet_id_t<FLEET_ID_BYTES_MAX>;
typedef opaque fleet_packed_t<FLEET_PACKED_BYTES_MAX>;

/* What changed from one reading of the list to the next. */
struct fleet_delta_t
{
  uint64_t digest; /* of the list after it */
  int64_t read_at; /* of that list, by the sender's clock, usec */
  fleet_id_t gone<FLEET_WIRE_BACKENDS_MAX>;
  fleet_backend_t changed<FLEET_WIRE_BACKENDS_MAX>; /* also the new ones */
};

/* The list of backend servers, for one that told which list it has. */
struct fleet_list_update_t
{
  uint64_t digest; /* of the sender's list; 0: it has none */
  int64_t read_at; /* by the sender's clock, usec */
  int64_t age;     /* usec since the list was read */
  /* Both empty: the receiver has that list. */
  fleet_packed_t whole;                       /* a fleet_list_t */
  fleet_packed_t deltas<FLEET_WIRE_DELTAS_MAX>; /* fleet_delta_t, in order */
};

struct fleet_fingerprint_t
{
  uint64_t low;
  uint64_t high;
};

/* A run of a request that ended with its backend server. */
struct fleet_crash_t
{
  uint64_t boot;     /* a hash of the backend server and its start */
  int64_t sent_age;  /* usec since the request was sent to it */
  int64_t ended_age; /* usec since the run ended */
};

/* A request that was running when backend servers ended. */
struct fleet_suspect_t
{
  fleet_fingerprint_t fingerprint;
  int64_t completed_age; /* usec since a complete answer came; -1: never */
  bool is_released;      /* by an operator */
  int64_t released_age;  /* usec since then; valid if is_released */
  fleet_crash_t crashes<FLEET_WIRE_CRASHES_MAX>;
};

/* What a backend server has said of itself to a router. */
struct fleet_notice_t
{
  uint64_t boot; /* a hash of the backend server and its start */
  bool is_leaving;
  int64_t said_age;  /* usec since it said so */
  int64_t rest_left; /* usec until it wants requests; 0: it does not rest */
};

/* What a router admitted and was asked for an account since its last report. */
struct fleet_usage_t
{
  uint64_t account;
  int64_t admitted;
  uint64_t asked;
};

/* The bucket of an account over all routers. */
struct fleet_quota_t
{
  uint64_t account;
  double level;  /* requests */
  double demand; /* requests a second */
};

/* What the routers of a director reported of an account since it started. */
struct fleet_total_t
{
  uint64_t account;
  int64_t admitted;
  uint64_t asked;
};

/* A bucket that the leader tells a follower. */
struct fleet_bucket_t
{
  fleet_quota_t quota;
  int64_t included; /* of the follower's total of admitted requests */
};

/* What a backend server said of its load. */
struct fleet_load_t
{
  uint32_t server;       /* a short hash of the backend server and its start */
  uint32_t counts;       /* high half: requests that run; low: that wait */
  uint32_t pace_and_age; /* high half: percent; low: msec since it said so */
  /* High half: of the request that it answered, in percent of what the router
     expected, 0: not known; low: 1 if it failed, 2 if no load is told, and 4
     times the load_limit_t of the server. */
  uint32_t duration_and_flags;
};

/* A backend server that is cold, or may be. */
struct fleet_cold_t
{
  uint64_t server; /* a hash of its id */
  uint32_t left;   /* msec until it is warm at the latest */
};

/* What a router tells another one itself, while no director takes it; a UDP
   datagram, which an HMAC-SHA256 follows (fleet/cold_datagram). */
struct fleet_cold_datagram_t
{
  uint32_t format;      /* COLD_DATAGRAM_FORMAT */
  uint64_t incarnation; /* of the sender's process */
  uint64_t sequence;    /* increases with each datagram of that process */
  uint32_t groups;      /* the receiver tells its one of so many groups of
                           routers; 0: it tells nobody */
  fleet_cold_t colds<FLEET_WIRE_TOLD_COLDS_MAX>;
};

/* What a message says behind its fixed fields (fleet/message_items).  A reader
   passes over kinds that it does not know. */
struct fleet_item_t
{
  uint32_t kind;
  opaque value<FLEET_ITEM_BYTES_MAX>;
};

struct fleet_items_t
{
  fleet_item_t items<FLEET_ITEMS_MAX>;
};

/* A router tells of itself and says what it has. */
struct fleet_pull_args_t
{
  fleet_router_t router;
  uint64_t config_version;
  uint64_t list_digest;
  uint64_t routers_digest;
  bool wants_routers; /* where they are others than it has */
  fleet_suspect_t suspects<FLEET_WIRE_SUSPECTS_MAX>; /* that it saw itself */
  uint64_t quarantine_digest; /* of the quarantined requests that it knows */
  bool tells_notices; /* all that are in force; otherwise as told before */
  fleet_notice_t notices<FLEET_WIRE_NOTICES_MAX>;
  fleet_usage_t usages<FLEET_WIRE_USAGES_MAX>;
  fleet_load_t loads<FLEET_WIRE_LOADS_MAX>; /* heard since the last pull */
  uint64_t source; /* the director's process that loads_known and colds_known
                      are of */
  uint64_t loads_known; /* its changes that the router has */
  fleet_cold_t colds<FLEET_WIRE_COLDS_MAX>; /* seen since the last pull */
  uint64_t colds_known;
};

/* Where a router takes requests. */
struct fleet_peer_t
{
  uint32_t address;
  uint32_t port;
  bool is_cut_off; /* it reaches no backend server */
  string domain<FLEET_NAME_BYTES_MAX>;
};

struct fleet_peers_t
{
  fleet_peer_t peers<FLEET_WIRE_ROUTERS_MAX>;
};

struct fleet_routers_t
{
  fleet_router_t routers<FLEET_WIRE_ROUTERS_MAX>;
};

/* A failure domain whose evacuation ended recently. */
struct fleet_reopened_t
{
  string domain<FLEET_NAME_BYTES_MAX>;
  int64_t age; /* usec since the sender learned of the end */
};

/* A request whose quarantine an operator ended. */
struct fleet_release_t
{
  fleet_fingerprint_t fingerprint;
  int64_t age; /* usec since then */
};

struct fleet_pull_result_t
{
  /* usec since this state was known to be the newest; -1: never */
  int64_t confirmed_age;
  uint64_t config_version;
  /* Packed; empty: not newer than asked. */
  opaque config<FLEET_PACKED_BYTES_MAX>;
  uint64_t evacuations_index;            /* of the log */
  fleet_name_t evacuated<FLEET_WIRE_DOMAINS_MAX>;
  uint64_t routers_digest;
  fleet_packed_t routers; /* a fleet_peers_t; empty: the router has it */
  fleet_list_update_t list;
  uint32_t directors<FLEET_WIRE_DIRECTORS_MAX>; /* addresses */
  fleet_reopened_t reopened<FLEET_WIRE_DOMAINS_MAX>;
  uint64_t quarantine_digest; /* of both lists; 0: they are empty */
  /* Empty where the router has the same digest. */
  fleet_fingerprint_t quarantined<FLEET_WIRE_QUARANTINED_MAX>;
  fleet_fingerprint_t on_trial<FLEET_WIRE_QUARANTINED_MAX>;
  fleet_release_t releases<FLEET_WIRE_RELEASES_MAX>;
  fleet_quota_t quotas<FLEET_WIRE_USAGES_MAX>; /* of the accounts of `usages` */
  fleet_load_t loads<FLEET_WIRE_LOADS_MAX>; /* changed since loads_known */
  uint64_t source;
  uint64_t loads_known;
  fleet_cold_t colds<FLEET_WIRE_COLDS_MAX>; /* changed since colds_known */
  uint64_t colds_known;
};

/* Which director holds which slot of the log. */
struct fleet_roster_t
{
  uint32_t addresses<FLEET_WIRE_DIRECTORS_MAX>; /* by slot; empty: none yet */
};

/* A director tells the others what it has heard. */
struct fleet_share_args_t
{
  uint32_t address; /* the sender */
  uint8_t slot;     /* of the log */
  fleet_packed_t routers; /* a fleet_routers_t */
  /* From the leader alone: its applied state is the newest; 0: not known. */
  uint64_t confirmed_index;
  fleet_roster_t roster;
  fleet_list_update_t list;
  fleet_suspect_t suspects<FLEET_WIRE_SUSPECTS_MAX>;
  uint64_t incarnation; /* of the sender's process */
  int64_t sent_at;      /* by the sender's clock, usec */
  fleet_total_t totals<FLEET_WIRE_TOTALS_MAX>;   /* to the leader */
  fleet_bucket_t buckets<FLEET_WIRE_TOTALS_MAX>; /* from the leader alone */
  fleet_load_t loads<FLEET_WIRE_LOADS_MAX>; /* changed since the last share */
  fleet_cold_t colds<FLEET_WIRE_COLDS_MAX>; /* the same; seen by the sender's
                                               routers, or from the leader */
};

struct fleet_share_result_t
{
  uint64_t list_digest; /* that the peer has now */
  uint64_t incarnation; /* of the peer's process */
};

/* One message between replicas, encoded by agreement/message. */
struct fleet_agree_args_t
{
  uint32_t address; /* the sender */
  opaque message<FLEET_MESSAGE_BYTES_MAX>;
};

struct fleet_announce_args_t
{
  uint32_t address; /* the sender */
  bool is_first;    /* the deployment's first start, as the sender was told */
  fleet_roster_t roster; /* as the sender knows it */
};

struct fleet_announce_result_t
{
  fleet_roster_t roster;
};

/* Entries of the log. */
enum fleet_command_kind_t
{
  FLEET_COMMAND_CONFIG = 0,
  FLEET_COMMAND_EVACUATE = 1,
  FLEET_COMMAND_TAKE_BACK = 2
};

struct fleet_config_t
{
  uint64_t config_version;
  opaque text<FLEET_CONFIG_BYTES_MAX>;
};

union fleet_command_t switch (fleet_command_kind_t kind)
{
case FLEET_COMMAND_CONFIG:
  fleet_config_t config;
case FLEET_COMMAND_EVACUATE:
  string evacuate<FLEET_NAME_BYTES_MAX>;
case FLEET_COMMAND_TAKE_BACK:
  string take_back<FLEET_NAME_BYTES_MAX>;
};

/* The state that the entries build up, in a snapshot. */
struct fleet_state_t
{
  uint64_t config_version;
  opaque text<FLEET_CONFIG_BYTES_MAX>;
  uint64_t evacuations_index;
  fleet_name_t evacuated<FLEET_WIRE_DOMAINS_MAX>;
};

program MULBERRY_FLEET
{
  version MULBERRY_FLEET_V1
  {
    void FLEET_GREET (void) = 0;
    fleet_pull_result_t FLEET_PULL (fleet_pull_args_t) = 1;
    fleet_share_result_t FLEET_SHARE (fleet_share_args_t) = 2;
    void FLEET_AGREE (fleet_agree_args_t) = 3;
    fleet_announce_result_t FLEET_ANNOUNCE (fleet_announce_args_t) = 4;
  } = 1;
} = 0x20004d05;
