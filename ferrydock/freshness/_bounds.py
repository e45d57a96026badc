"""How old the data of a daemon may be, how its age is known, and why: the list of all bounds.

| data | source | its age is known by | bound |
| --- | --- | --- | --- |
| configuration | store, read every 0.5 or 1 s | start of the call | `LEADER_MAX_AGE_S` |
| evacuated halls | the same calls; reports of leaders | start of the call | the same |
| target list | watch of the store | store's position in those calls | `change_budget` |
| both, at a follower | hall's leader | the older of both ages, in each reply | `change_budget` |
| own hall's leader | its replies, then the store | each reply | 2 s, then read again |
| other halls' leaders | watch of the store | store's position | `REMOTE_LEADER_MAX_AGE_S` |
| other halls' in-flight counts | those leaders, every 0.15 s | each reply | 1.5 s |
| other halls' demand | those leaders, every second | each reply | 5 s |
| crashing requests | in the replies of both rows above | each reply | as that reply |
| replies to orders | targets, each order sent once | - | 0.7 s, then read back |
| operators' table | watch of the store | a read of its head | 4 s (`ferrydock.node`) |

Data beyond its bound is not discarded: it stays in use. A target that was ordered to leave stays
excluded, because a list of an older store position is never applied, and from a list of a new era
no entry that is older than the known one. But other daemons do not rely on such data any more: a
leader replies that it does not serve, its followers read the store themselves, and the daemon that
reads the store makes a separate call beside the watch that has returned nothing.

Ages are measured on a monotonic clock and sent between daemons as durations.
"""

__all__ = ["LEADER_MAX_AGE_S", "REMOTE_LEADER_MAX_AGE_S", "UNANSWERED_S"]

# Age of the last confirmation up to which a hall leader serves its followers. Beyond it the leader
# stops relaying to its followers; each then reads the store itself. The leader confirms its data
# every 0.5 s. How the time within which a change must be in force is spent: `_change_budget`.
LEADER_MAX_AGE_S = 1.1

# How long a watch may return nothing while the store is known to be ahead of the target list,
# before the changes are requested by a separate call. A watch normally returns changes within
# milliseconds, or 0.07 s later where the store is slow. With up to 0.55 s between two confirmations
# and a check every 0.05 s, the list of a leader is at most 0.55 + 0.1 + 0.05 s + the time of a call
# old while the store's revision rises by writes to other keys, and that of a follower 0.35 s older:
# about the age at which it would ask the store itself (`_change_budget`).
UNANSWERED_S = 0.1

# Age of the last confirmation of another hall's leader up to which its key is not read again beside
# the watch of the key. Data from that leader has shorter bounds of its own; a stale key only delays
# the exchange with a new leader and taking over a hall without daemons. While the store's revision
# does not change, no call is made. With 6 s, a quiet emulated day of 23 daemons in five halls, a
# small model of a large site, cost 1,597 store calls instead of 1,466 (one run each).
REMOTE_LEADER_MAX_AGE_S = 15.0
