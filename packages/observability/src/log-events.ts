/**
 * Names of all log events, each with its meaning and its fields. docs/LOGS.md is generated from this list, and the compiler
 * rejects other names.
 */
export const LOG_EVENTS = {
  request_admitted:
    'A request was read and has a route. Route, service, digest of its content (shared by all attempts of one request), model, adapter, ids of the prompt parts that other requests may share, last event that the client already has and the attempt that brought the first one, remaining time.',
  stream_taken_up:
    'A client takes a stream up again after its connection broke. Attempt that brought the first event, last event that the client has, service and software version that the stream goes on at, where the version is known from (`own`, `peer`, `only_version`, `store`).',
  stream_versions_recorded:
    'The store now names the software versions at which streams of a service may have begun that can still be taken up. Service, versions, place of this daemon among the writers.',
  stream_versions_not_recorded:
    'The software versions of a service could not be recorded; tried again. Service, cause.',
  stream_origins_stored:
    'This daemon stores where its streams began, as their service has more than one software version. Number of streams.',
  stream_origins_not_stored:
    'The origins of streams could not be stored; tried again. Number of streams, cause.',
  stream_records_unread: 'Records about streams could not be read from the store. Cause.',
  request_queued:
    'All workers that hold the model are full, and the request waits for room on one. Model, number of waiting requests that go first, expected wait.',
  request_sent:
    'The request is being sent. Back end, its zone and software version, reason for the choice, requests in progress there, age of its record, remaining time, time waited for room on a worker.',
  request_declined:
    'A back end did not accept the request or did not respond. Verdict: `not_run`, `not_resident`, `other_incarnation`, `unreachable`, `broken`, `stalled` (replaced by another run) or `timed_out`.',
  answer_unmatched:
    'An answer does not belong to the request in progress on its connection, or names no request where it could belong to another one. Back end, request that the answer names, status, match (`repeated`: a second answer to the request before; `other_call`, `no_call`), outcome (`skipped`: the next answer is awaited; `rejected`: the connection is closed, and the request may have run).',
  answer_overlong:
    'A part of an answer exceeded its limit, and its connection was closed. Back end, part (`event`: an event or comments without an end, which counts as a broken answer; `declined_body`: the body of a decline, which stands; `interim_responses`: no final answer, the request may have run).',
  request_repeated:
    'A retry is considered. Whether it is allowed, preceding result, service, whether the preceding send reached a back end and the retry counts against the budget, where the retry comes from (`earned`, `granted`, `first_member`) or why it is withheld (`used_up`, `allocator_starting`, `no_allocator`), earned retries left.',
  answer_silent:
    'No data of an answer has arrived for some time; another run is sought while it is still waited for. Back end, last event that the client has.',
  answer_silence_ended:
    'The wait for a silent answer has ended. Back end, end (`ready`: it can be read on; `replaced`: another run has taken its place; `process_ended`; `expired`: time is up or the client has left), time since another run was first sought, back end of that run.',
  request_resumed:
    'A back end was asked to resume a stream and has responded. Back end, its software version, event to resume after, status.',
  take_up_refused:
    'A response does not continue the part of the stream that the client has received, and counts as a failed send. Back end, reason (`failure`, `not_a_stream`, `begins_anew`, `skips`, `not_rising` or `without_id`), status, last event that the client has, first event of the response.',
  event_torn:
    'A response ended normally in the middle of an event and counts as broken. Back end, last event that the client has, bytes of the incomplete event.',
  request_answered:
    'The request was completed with the response of a back end. Status, back end, duration; for a stream also the first event of the last run and the last event forwarded.',
  request_refused:
    'The request was refused without having run. Kind, cause, time after which to retry, sends, time waited.',
  request_failed:
    'The request ended without a complete response and may have run. Response sent, cause, sends.',
  request_abandoned: 'The client disconnected. Sends in progress are cancelled.',
  daemon_saturated:
    'The event loop of this daemon has been late for 0.3 s, and part of the arrivals are refused before any work on them, the least urgent first. Least delay of the last samples, age of the last one, share of the arrivals that is admitted, requests in progress.',
  daemon_unsaturated:
    'This daemon admits all arrivals again. The same facts, and the number of requests refused since `daemon_saturated`.',
  unread_answers_paused:
    'Answers are not read on from their workers since their clients lag behind and unread answers take much of the memory for them; at most one line per second. Paused answers, unread bytes of all answers, the budget.',
  unread_answer_ended:
    'An answer was ended as incomplete, as its client did not read and the memory for unread answers was used up. Request, caller (tenant or client address), unread bytes, time since the client last read, unread bytes of all answers, the budget.',
  back_end_limited:
    'A response reported the maximum number of requests per second that its back end accepts from all daemons together. Back end, source (`answer`: the back end itself; `peer`: another daemon that received it), the limit, the previous limit.',
  back_end_unlimited: 'A response no longer reported a rate limit. Back end, source, the previous limit.',
  back_end_brittle:
    'A response reported that its back end falls over when it has to decline more than a number of requests in a second; no more than it has room for is sent to it. Back end, source (`answer` or `peer`), the number.',
  back_end_not_brittle: 'A response no longer reported that its back end is brittle. Back end, source.',
  shares_borrowed:
    'This daemon uses its whole share of a back end and was lent unused shares of another daemon; logged for the first loan after a time without loans. Lender, number of back ends that are short.',
  back_end_leaving:
    'A response reported that its back end will exit soon. Back end, source (`answer` or `peer`).',
  back_end_paused:
    'A back end declined a request and requested a pause from this daemon. Back end, duration.',
  notice_malformed:
    'A response contains an invalid report about its back end, which is ignored; logged once for each back end and text. Back end, subject of the report, text.',
  worker_pace_learnt:
    'A worker whose pace was unknown reported how long work takes there. Back end, the pace assumed from now on (1 is usual), the figure in percent.',
  process_ended_under_request:
    'The process of a back end exited while it ran a request. Content, back end, time since the request was sent, number of processes that exited while running the content, time until the exit was detected, prompt parts that were marked.',
  process_ended_after_run:
    'The process of a back end exited shortly after a run that ended with a complete answer, or whose answer nobody waited for any more. Request, content, back end, time since the request was sent.',
  send_withheld:
    'A prepared send was not made, as processes were found to have ended under its content or its prompt parts meanwhile. Back end, content.',
  request_quarantined:
    'A content repeatedly crashed the processes that ran it and is refused from now on. Whether this was observed here, reported by other daemons or read from the store; processes; route and attempt.',
  prompt_part_quarantined:
    'A prompt part repeatedly crashed the processes that ran requests with it; such requests are refused from now on. Part, processes, time since the first and the last of them exited, whether this daemon served the part before, trials that failed.',
  process_ended_under_load:
    'The process of a worker exited before it finished an ordered load. What was loaded (service, model or `model/adapter@version`), content, worker, time since the order, number of processes that exited while loading the content, time until the exit was detected.',
  load_quarantined:
    'A model or adapter repeatedly crashed the workers that loaded it and is not loaded from now on. Content, what it loads if that is known here, whether this was observed here, reported by other daemons or read from the store; processes.',
  load_refused:
    'A demand was refused immediately because its model or adapter is quarantined. Model or adapter, number of processes that exited while loading it, time after which to retry.',
  suspect_tried:
    'A content that may have crashed processes, as may the contents that ran beside it, runs as a trial: in isolation from other suspects, or only one attempt of it at a time. Content, back end, earlier trials that ended their process or whose end is unknown.',
  part_trial_awaited:
    'A request waited for the trial of prompt parts that were served before. Parts, what they were found to be before and after (clear, suspect, guilty), how long it waited, age of the trials that have not ended well.',
  suspect_trials_used_up:
    'A content has had all its trials and is refused until one of its records expires. Content, processes of the trials.',
  suspect_cleared:
    'A suspected content was run or loaded successfully, and the process lived on. Content; for a load also what it loads; time since the run was sent, marks of later crashes that are left.',
  quarantine_lifted: 'The record of a quarantined content was removed, so that it may run again. Content.',
  quarantine_not_written:
    'The record of a quarantined content could not be written yet. Content, number of failures, cause.',
  demand_answered:
    'The coordinator of a zone responded to the demand of this daemon for a model. Zone, coordinator, model, adapter, whether the demand is held, reason, duration, remaining time.',
  load_decided:
    'A coordinator starts a load. Zone, model, demands that wait for it and their wait, all waiting demands, worker, evicted models, expected duration, source of the weights, recent demand.',
  replica_wanted:
    'A coordinator decided to add a replica of a model with slow loads. Zone, model, worker, projected load and remaining capacity in requests, reason (`load`, `capacity`, `pauses`).',
  demand_refused:
    'A coordinator refused a demand for a model. Zone, model, whether another replica was requested, reason, cause if no worker has capacity (`no_worker`, `no_victim`, `store_barred`, `no_memory`), remaining time, expected load time, waiting demands.',
  model_unserved:
    'Demands for a model have failed for seconds and it is resident on no worker. Zone, model, cause, number of demands, duration.',
  order_answered: 'A worker responded to an order, or did not respond. Order, sequence, outcome.',
  worker_learnt: 'A report of a worker was adopted. Sequence, models.',
  store_load_granted:
    'The scheduler of the weight store let a zone start a load. Zone, model, kind (`first`, `replica`, `ahead`), demands that wait, requests per second that it serves, duration at full speed, loads in progress, their limit.',
  store_schedule_lost:
    'The scheduler of the weight store does not answer a zone, which now loads one model at a time in its turn. Zone, scheduler, time since its last answer.',
  store_schedule_regained: 'The scheduler of the weight store answers a zone again. Zone, scheduler.',
  load_finished:
    'A load has completed. Worker, model, time until the evicted models were unloaded, total time.',
  load_failed: 'A load has failed. Worker, model, cause.',
  order_uncertain:
    'An order to a worker ended without an answer: it may be executed now, later or never. Worker, operation, target, sequence.',
  order_settled:
    'The outcome of an uncertain order no longer matters: the worker has accepted an order since (by sequence), or answered the same order sent again (by repeat). Worker, operation, target, time since it became uncertain.',
  order_not_repeated: 'An uncertain order could not be sent again. Worker, cause.',
  lease_gained:
    'This daemon became the coordinator of a zone. Fence, time until it may act, evidence that determined it.',
  lease_holder_refused:
    'A majority of the witnesses of a lease refuse its holder, which is then replaced. Holder, time since its last response.',
  lease_out_of_contact:
    'A holder has received no response from a majority of its witnesses and chooses others. Duration.',
  lease_unconfirmed: 'The renewal of a lease failed. Age of the last confirmation, cause.',
  lease_lost: 'This daemon is no longer the coordinator of a zone. Fence.',
  zone_handed_over:
    'This daemon gives up the coordination of a zone because it reaches no worker while other daemons do. Zone, fence, daemons that may take over.',
  lease_released:
    'A lease was released. Fence, milliseconds for which an order that got no answer may still reach its worker.',
  configuration_applied:
    'A configuration is in effect. Current and previous version, number of routes and services.',
  quota_granter_started:
    'This daemon became an allocator of the quotas of tenants. Zone, fence, time until requests are served.',
  retry_allocator_started:
    'This daemon became an allocator of the fixed allowance of retries. Zone, retries in each window, time until it grants, whether it is the first of its zone.',
  retry_pool_started:
    'Daemons with too few requests to earn a retry hand them over to this allocator, which grants what they earn together. Zone, service; logged once for each service.',
  rate_limit_granter_started:
    'This daemon became the allocator of send permits for the rate-limited back ends of a zone. Zone, fence, time until requests are served.',
  record_invalid:
    'A record of the store is invalid and is ignored. Kind, name, revision, reason. Logged once for each reason.',
  back_ends_listed: 'All back ends were listed again. Number of back ends.',
  back_end_seen: 'A back end appeared. Service, software version, zone, state, models.',
  back_end_changed:
    'A back end started to drain or accepts requests again. Service, software version, zone, state, models.',
  back_end_gone: 'The record of a back end was removed.',
  path_lost:
    'This daemon lost its direct path to a back end. Back end, cause (`not_connected`: no connection opened; `no_answer`: neither a request nor a probe was answered; `no_back_end_reached`: none of the back ends compared was reached).',
  path_restored: 'The direct path to a back end works again. Back end, time for which it was lost.',
  back_ends_unreachable:
    'This daemon reaches no back end over its own connections. Back ends probed, time since the last answer of any.',
  back_ends_reachable: 'This daemon reaches a back end again. The back end, time for which none was reached.',
  isolation_confirmed:
    'This daemon reaches no back end, and another daemon does: requests go by way of others, and the zones coordinated here are handed over. The back end probed, the daemon that reached it.',
  request_relayed:
    'A request is sent to a back end by way of another daemon, since the direct path is lost. Back end, the relay.',
  store_lost: 'The store does not respond to this daemon. Kind of records, cause.',
  store_regained: 'The store responds again. Kind of records, failures in between.',
  store_restored:
    'A response of the store has a higher era than previous ones: the store was restored from a backup. Era, the previous era.',
  store_era_fallen: 'A response of the store has a lower era than previous ones. Era, the previous era.',
  records_listed:
    'All records of a kind were listed from the store. Kind, era and revision of the listing, newest revision observed before, number of records, whether the listing was applied.',
  record_passed_over:
    'A watch reported a change of a record that is cached in a newer revision; the change was ignored. Kind, name, revision, the cached revision.',
  store_history_gone:
    'The store no longer has the requested history of changes; records are listed again. Kind, revision.',
  store_watch_behind:
    'A watch reported no changes while other daemons had newer records; records are listed again.',
  exchange_role: 'This daemon became a relay or is no longer one. Number of other relays.',
  exchange_attached: 'This daemon attached to a relay. The relay and the previous one.',
  exchange_relay_avoided: 'A relay is not tried for a while. Cause: `no answer`, `no relay` or `behind`.',
  exchange_unattached: 'No relay responds; this daemon watches the store directly. Number of relays tried.',
  peer_up: 'Another daemon is present. Its run.',
  peer_down: 'Another daemon is no longer present. Its status.',
  register_failed: 'The register of daemons could not be read or written. Cause.',
  daemon_started: 'This daemon accepts connections. Zone, addresses.',
  daemon_draining: 'An operator requested this daemon to drain.',
  daemon_stopping: 'A planned stop began. Requests in progress.',
  daemon_stopped: 'A planned stop ended. Requests still in progress, duration.',
  start_failed: 'The daemon could not start. Cause.',
  reload_requested: 'The settings file has changed.',
  coordinator_started:
    'Own interface: this daemon coordinates a zone. Fence, whether its records are complete.',
  coordinator_stopped: 'Own interface: this daemon no longer coordinates a zone. Fence.',
  coordinator_recovered:
    'Own interface: the coordinator has recovered the state of the workers. Number of workers.',
  worker_state_changed: 'Own interface: the state of a worker changed in the machine list. Worker, state.',
  worker_gone: 'Own interface: a worker was removed from the machine list.',
  replica_loading: 'Own interface: a load was ordered. Model, worker, source of the weights.',
  replica_unloading: 'Own interface: an unload was ordered. Model, worker, reason.',
  checkpoint_warming: 'Own interface: a checkpoint is prefetched to a worker. Model, worker.',
  job_taken_over:
    'Own interface: a job that another daemon had claimed got its final outcome here. Job, outcome (`finished`: the result that the other daemon had copied; `lost`: it reported none).',
  call_failed:
    'Calls to other daemons failed and are recovered from by the next attempt; at most one line per second and kind. Kind, the daemon called last, cause, failures since the previous line.',
  task_failed: 'A background task failed. Its name, cause.',
  log_lines_dropped: 'Log lines were dropped since the start. Their number by class.',
} as const;

export type LogEventName = keyof typeof LOG_EVENTS;

/** Renders the contents of docs/LOGS.md as Markdown. */
export function renderLogEvents(): string {
  const rows = Object.entries(LOG_EVENTS).map(([name, meaning]) => `| \`${name}\` | ${meaning} |`);
  return [
    '# Log events',
    '',
    'Generated from `packages/observability/src/log-events.ts` by `npm run docs:logs`; a test holds both together.',
    'Lines are JSON: `level`, `time`, `daemon`, `event`, and the facts named here.',
    '',
    '| event | meaning and facts |',
    '| --- | --- |',
    ...rows,
    '',
  ].join('\n');
}
