"""How old each thing that a daemon follows may be, why, and who notices: the one place for it.

| followed | from | its age is known by | bound |
| --- | --- | --- | --- |
| configuration | store, asked every 0.5 or 1 s | start of the call | `LEADER_MAX_AGE_S` |
| target list | store, waiting for changes | store's position in those calls | the same |
| both, at a follower | hall's leader | older age of both, in each answer | the same |
| own hall's leader | its answers, then the store | each answer | 2 s, then read again |
| other halls' leaders | store, waiting for changes | store's position | `REMOTE_LEADER_MAX_AGE_S` |
| other halls' counts | those leaders, every 0.15 s | each answer | 1.5 s |
| other halls' demand | those leaders, every second | each answer | 5 s |
| crashing requests | along both of these | each answer | as the answer |
| answers to orders | targets, asked once | - | 0.7 s, then read back |
| operators' table | store, waiting for changes | a look at its head | 4 s (`ferrydock.node`) |

Beyond its bound nothing is forgotten: what is known goes on being used, and a target that was told
to leave stays left, since a list of an older position is never taken, and of one in a new era no
entry that is older than what is known. What ends is relying on it: a
leader says that it does not serve, its followers read the store themselves, and the reader asks
anew beside the wait that has told it nothing.

Ages count on the steady clock and travel between daemons as durations.
"""

__all__ = ["LEADER_MAX_AGE_S", "REMOTE_LEADER_MAX_AGE_S", "UNANSWERED_S"]

# Oldest confirmation, in seconds, with which a hall leader counts as reading the store. Beyond it
# the leader stops answering its followers, and a follower stops relying on it; each then reads the
# store itself. The leader confirms every 0.5 s. A change must be in force everywhere within 2 s:
# 1.1 s, 0.6 s for a question that gets no answer and 0.15 s of pause make 1.85 s. Measured in
# docs/MEASUREMENTS.md, routes, "word of the store bounded to 1.1 s".
LEADER_MAX_AGE_S = 1.1

# How long a wait may be under way while the store is known to be ahead of the target list, in
# seconds, before the changes are asked for beside it. The wait has its answer within milliseconds,
# or 0.07 s later where the store is slow. With 0.55 s between two confirmations and looks every
# 0.1 s the list of a leader stays within `LEADER_MAX_AGE_S` while the store's revision rises by
# other keys: 0.55 + 0.15 + 0.1 + a call. Chosen, not measured.
UNANSWERED_S = 0.15

# Oldest confirmation of another hall's leader, in seconds, before its key is read again beside the
# wait for its end. What comes from that leader has shorter bounds of its own; what is late is the
# exchange with a new one, and taking over a hall without daemons. While the store's revision stands
# still it costs no call. With 6 s the small twin of a quiet day at a large site (23 daemons, five
# halls) cost 1,597 calls in place of 1,466 (emulated, one run each).
REMOTE_LEADER_MAX_AGE_S = 15.0
