"""Steps for the checker: clean records into which one fault is seeded."""

from behave import given, then, when

from briarshed_standins.checker import CallerRecord, Limit, Outage, Rules, check_records

JOBS = 30
TEAMS = ("hotels", "schools")
LIMIT = 4
DURATION_S = 0.5
KILLED = "http://127.0.0.1:2"
KILLED_FROM_S, KILLED_UNTIL_S = 100.0, 110.0


def make_caller_record(job, team, at, idempotent=True, **changes):
    record = CallerRecord(
        job=job,
        entry="http://127.0.0.1:1",
        queue="proofing",
        team=team,
        key=f"k-{team}",
        idempotent=idempotent,
        sent_at=at,
        told_at=at + DURATION_S,
        status=200,
        outcome="finished",
        code="",
        correct=True,
    )
    return record._replace(**changes)


def make_run(job, team, at, result="finished", **changes):
    """Return the lines of one run; without a result only the start."""
    line = {
        "event": "start",
        "at": at,
        "endpoint": "127.0.0.1:9",
        "attempt": f"{job}@{at}",
        "job": job,
        "team": team,
        "key": f"k-{team}",
        "queue": "proofing",
        "idempotent": True,
        "result": "",
    } | changes
    end = line | {"event": "end", "at": at + DURATION_S, "result": result}
    return [line, end] if result else [line]


class Records:
    """Records of callers and endpoints, and the rules to check them against."""

    def __init__(self):
        self.caller_records = []
        self.lines = []
        limits = {team: (Limit(LIMIT),) for team in TEAMS}
        outage = Outage(KILLED, KILLED_FROM_S, KILLED_UNTIL_S)
        self.rules = Rules(limits, {}, (outage,))
        for number in range(JOBS):
            team = TEAMS[number % len(TEAMS)]
            self.add(f"job-{number}", team, number / 10, idempotent=number % 3 > 0)

    def add(self, job, team, at, result="finished", idempotent=True, **changes):
        """Add a job that one endpoint ran and whose caller got its result."""
        self.caller_records.append(
            make_caller_record(job, team, at, idempotent, **changes)
        )
        self.lines += make_run(job, team, at, result)

    def change_record(self, number, **changes):
        """Change the caller's record of one job."""
        self.caller_records[number] = self.caller_records[number]._replace(**changes)

    def run_again(self, number, at, result="finished", **changes):
        """Add another run of an existing job."""
        record = self.caller_records[number]
        team = changes.pop("team", record.team)
        self.lines += make_run(record.job, team, at, result, **changes)

    def replace_runs(self, number, *results, **changes):
        """Replace the runs of one job by runs that start 10 s apart."""
        job = self.caller_records[number].job
        self.lines = [line for line in self.lines if line["job"] != job]
        for index, result in enumerate(results):
            self.run_again(number, 20.0 + 10 * index, result, **changes)

    def fill(self, count, at, team="hotels", **changes):
        """Add jobs of one team that start 10 ms apart."""
        for index in range(count):
            self.add(f"more-{at}-{index}", team, at + index / 100, **changes)


NO_RESPONSE = {"status": 0, "outcome": "none", "code": "connection-lost"}
NOT_RUN = {"status": 503, "outcome": "not run", "code": "full"}
UNKNOWN = {"status": 502, "outcome": "unknown", "code": "attempt-lost"}


def seed_no_response(records, entry, at):
    records.change_record(1, **NO_RESPONSE, entry=entry, sent_at=at, told_at=at + 0.1)


def seed_killed_endpoint(records):
    records.fill(1, 50.0, result="", **UNKNOWN)
    killed = {"event": "killed", "at": 50.1, "endpoint": "127.0.0.1:9"}
    records.lines.append(killed)
    records.fill(LIMIT, 50.2)


def seed_lowered(records, at):
    limits = {"hotels": (Limit(LIMIT), Limit(2, since=60.0))}
    records.rules = records.rules._replace(limits=limits)
    records.fill(2, 59.9)
    records.fill(1, at)


def seed_withdrawn(records, in_force_at):
    records.rules = records.rules._replace(withdrawn={"k-hotels": in_force_at})


SEEDS = {
    "none": lambda r: None,
    "a caller gets no response": lambda r: r.change_record(1, **NO_RESPONSE),
    "a caller gets a malformed refusal": lambda r: r.change_record(
        1, status=503, outcome="none", code="malformed"
    ),
    "a job is reported as finished, but no endpoint finished it": lambda r: (
        r.replace_runs(1, "failed")
    ),
    "a caller gets no response from another entry in an outage": lambda r: (
        seed_no_response(r, "http://127.0.0.1:1", 105.0)
    ),
    "a caller gets no response after an outage ended": lambda r: seed_no_response(
        r, KILLED, 111.0
    ),
    "a caller gets no response from a killed entry": lambda r: seed_no_response(
        r, KILLED, 105.0
    ),
    "a caller gets two outcomes": lambda r: r.caller_records.append(
        r.caller_records[1]
    ),
    "a non-idempotent job finishes twice": lambda r: r.run_again(0, 20.0),
    "a non-idempotent job starts again after it failed": lambda r: r.replace_runs(
        0, "failed", "finished"
    ),
    "an idempotent job starts again after it failed": lambda r: r.replace_runs(
        1, "failed", "finished"
    ),
    "a caller gets the answer to another job": lambda r: r.change_record(
        1, correct=False
    ),
    "a finished job is reported as not run": lambda r: r.change_record(1, **NOT_RUN),
    "a failed job is reported as not run": lambda r: (
        r.replace_runs(1, "failed"),
        r.change_record(1, **NOT_RUN),
    ),
    "a job reported as not run starts later": lambda r: (
        r.replace_runs(1, ""),
        r.change_record(1, **NOT_RUN),
    ),
    "a job is reported as not run and never starts": lambda r: (
        r.replace_runs(1),
        r.change_record(1, **NOT_RUN),
    ),
    "a team runs one job above its limit": lambda r: r.fill(LIMIT + 1, 50.0),
    "a task of a killed endpoint no longer counts for the limit": seed_killed_endpoint,
    "a team starts a job above its lowered limit": lambda r: seed_lowered(r, 60.1),
    "a team runs jobs from before its limit was lowered": lambda r: seed_lowered(
        r, 59.99
    ),
    "a withdrawn key starts a job after its withdrawal": lambda r: (
        seed_withdrawn(r, 30.0),
        r.fill(1, 30.1),
    ),
    "a withdrawn key starts a job before its withdrawal": lambda r: (
        seed_withdrawn(r, 30.0),
        r.fill(1, 29.9),
    ),
    "a job runs for another team": lambda r: r.replace_runs(
        0, "finished", team="schools"
    ),
    "a planned stop interrupts a job": lambda r: (
        r.replace_runs(1, "interrupted"),
        r.change_record(1, **UNKNOWN),
    ),
    "an endpoint runs a job that nobody submitted": lambda r: r.lines.extend(
        make_run("stray", "hotels", 50.0)
    ),
}


def check(records):
    return check_records(records.caller_records, records.lines, records.rules)


@given("clean records of callers and endpoints")
def step_records(context):
    context.records = Records()


@when("this fault is seeded: {fault}")
def step_seed(context, fault):
    SEEDS[fault](context.records)


@then("the checker counts only: {counts}")
def step_counts(context, counts):
    report = check(context.records)
    found = {kind: count for kind, count in report.count_all().items() if count}
    pairs = [] if counts == "nothing" else counts.split(", ")
    expected = {
        kind: int(count) for kind, _, count in (p.partition("=") for p in pairs)
    }
    assert found == expected, report


@then("the checker's outcomes add up to the submitted jobs")
def step_outcomes(context):
    report = check(context.records)
    assert report.unknown == 1, report
    total = report.finished + report.refused + report.unknown
    assert total == report.submitted == JOBS, report
