// One function a case; each returns the exit code of its script.
#pragma once

#include "deployment.h"
#include "record.h"

namespace lab2 {

/// A worker takes its leave and starts again under its id; a late start reaches it.
int RunLeave(Record& record, bool has_trouble);
/// A submission is accepted, its answer is lost between core and edge, and the route is dropped.
int RunRoute(Record& record, bool has_trouble);
/// Heartbeats of another writer, with a field missing, under the ids of workers.
int RunBeat(Record& record, bool has_trouble);

/// A worker leaves orders unanswered for 2 s, the start of a task that lasts among them.
int RunLate(Record& record, bool has_trouble);

/// A worker crashes after its task is done, and its next incarnation carries out a late start.
int RunDone(Record& record, bool has_trouble);

}  // namespace lab2
