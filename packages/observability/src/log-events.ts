/**
 * Names of all log events, each with its meaning and its fields. docs/LOGS.md is generated from this list, and the compiler
 * rejects other names.
 */
export const LOG_EVENTS = {
  request_admitted:
    'A request was read and has a route. Route, service, digest of its content (all attempts of one request share it), model, adapter, the last event that its client already has, time left.',
  request_sent: 'A send begins. Back end, why it was chosen, requests there, age of its record, time left.',
  request_declined:
    'A back end did not take it, or did not answer it. Verdict: `not_run`, `not_resident`, `other_incarnation`, `unreachable`, `broken` or `timed_out`.',
  request_repeated: 'Another send is considered. Whether it is allowed, after what, budget left.',
  request_resumed: 'A back end was asked to take a stream up and has answered. After which event, status.',
  take_up_refused:
    'An answer cannot go on with what the client has, and counts as a failed send. Back end, reason (`failure`, `not_a_stream`, `begins_anew`, `skips`, `not_rising` or `without_id`), status, last event that the client has, first event of the answer.',
  event_torn:
    'An answer came to a plain end inside an event and counts as broken. Back end, last event that the client has, bytes of the unfinished one.',
  request_answered:
    'Ended with an answer of a back end. Status, back end, time taken; of a stream the first event of the last run and the last event passed on.',
  request_refused: 'Ended as not run. Kind, cause, when to come back, sends, time waited.',
  request_failed: 'Ended without a whole answer, and may have run. Answer given, cause, sends.',
  request_abandoned: 'The client has gone. What is under way is cancelled.',
  back_end_limited:
    'An answer named how many requests a second its back end takes from all daemons together. Back end, who said it (`answer`: the back end itself; `peer`: another daemon that had heard it), the limit, the one before.',
  back_end_unlimited: 'An answer named no such limit any more. Back end, who said it, the limit before.',
  back_end_leaving:
    'An answer said that its back end will end soon. Back end, who said it (`answer` or `peer`).',
  back_end_paused:
    'A back end declined a request and wants none from this daemon for a while. Back end, for how long.',
  notice_malformed:
    'An answer says something of its back end that means nothing, and changes nothing; told once for each back end and word. Back end, what it is about, text.',
  process_ended_under_request:
    "A back end's process ended while it ran a request. Content, back end, time since it was sent, processes that ended under the content so far, time until that was found out.",
  request_quarantined:
    'A content has proved to end the processes that run it, and is refused from now on. Whether that was seen here, told by others or read in the store; processes; route and attempt.',
  process_ended_under_load:
    "A worker's process ended before a load that it had been ordered. What was loaded (service, model or `model/adapter@version`), content, worker, time since the order, processes that ended under the content so far, time until that was found out.",
  load_quarantined:
    'A model or adapter has proved to end the workers that begin to load it, and is not loaded from now on. Content, what it loads where that is known here, whether that was seen here, told by others or read in the store; processes.',
  load_refused:
    'A demand was refused at once because what it needs is not loaded any more. What, processes that ended under it, when to come back.',
  suspect_tried:
    'A content that processes ended under, and that its neighbours explain as well, runs apart from all others of its like. Content, back end.',
  suspect_cleared:
    'A content that processes ended under was run, or loaded, to a good end. Content, of a load what it loads.',
  quarantine_lifted: 'The record of a quarantined content is gone: it may run again. Content.',
  quarantine_not_written:
    'The record of a quarantined content could not be written yet. Content, failures, cause.',
  demand_answered:
    "A zone's coordinator answered this daemon's demand for a model. Zone, coordinator, model, adapter, whether it is held, reason, time taken, time that was left.",
  load_decided:
    'A coordinator starts a load. Zone, model, demands that wait for it and how long, all that wait, worker, what makes way, time that it takes, source of the weights, recent demand.',
  demand_refused:
    'A coordinator turned a demand for a model down. Zone, model, whether another replica was wanted, reason, cause where there is no place (`no_worker`, `no_victim`, `store_barred`, `no_memory`), time that was left, time that it would take, demands that wait.',
  model_unserved:
    'A model has been asked for in vain for seconds, and is resident nowhere. Zone, model, cause, how often it was asked for, for how long.',
  order_answered: 'A worker answered an order, or did not. Order, sequence, outcome.',
  worker_learnt: 'A report of a worker was adopted. Sequence, models.',
  load_finished: 'A load has come about. Worker, model, time until what made way was gone, time in all.',
  load_failed: 'A load did not come about. Worker, model, cause.',
  lease_gained: 'This daemon coordinates a zone. Fence, time until it may act.',
  lease_holder_refused:
    'Most witnesses of a lease refuse its holder, which is then replaced. Holder, time since it was last answered.',
  lease_out_of_contact:
    'A holder has had no answer from most of its witnesses and names others. For how long.',
  lease_unconfirmed: 'A renewal failed. Age of the last confirmation, cause.',
  lease_lost: 'This daemon no longer coordinates a zone. Fence.',
  lease_released: 'A lease was given back at a planned stop. Fence.',
  configuration_applied:
    'A configuration is in force. Version now and before, number of routes and services.',
  quota_granter_started:
    "This daemon hands out a part of the tenants' limits. Zone, fence, time until what comes in counts.",
  rate_limit_granter_started:
    "This daemon hands out permits to send to a zone's back ends that limit their rate. Zone, fence, time until what comes in counts.",
  record_invalid:
    'A record of the store is not what it should be, and names nothing. Kind, name, revision, reason. Told once for each reason.',
  back_ends_listed: 'All back ends were read anew. Their number.',
  back_end_seen: 'A back end appeared. Service, zone, state, models.',
  back_end_changed: 'A back end has begun to leave, or takes requests again. Service, zone, state, models.',
  back_end_gone: 'The record of a back end vanished.',
  store_lost: 'The store does not answer this daemon. Kind of records, cause.',
  store_regained: 'The store answers again. Kind of records, failures in between.',
  store_restored:
    'An answer of the store tells of a higher era than those before: the store was restored from a copy. Era, the one before.',
  store_era_fallen: 'An answer of the store tells of a lower era than those before. Era, the one before.',
  records_listed:
    'All records of a kind were read from the store. Kind, era and revision of the listing, newest revision known before, their number, whether the listing was taken.',
  record_passed_over:
    'A watch brought a change of a record that is known in a newer revision, and nothing was changed. Kind, name, revision, the one known.',
  store_history_gone: 'The store has forgotten changes; records are listed again. Kind, revision.',
  store_watch_behind: 'A watch was silent while others had newer records; records are listed again.',
  exchange_role: 'This daemon became a relay, or is none any more. Number of other relays.',
  exchange_attached: 'This daemon attached to a relay. The relay, and the one before.',
  exchange_relay_avoided: 'A relay is not tried for a while. Cause: `no answer`, `no relay` or `behind`.',
  exchange_unattached: 'No relay answers; this daemon follows the store itself. Number of relays tried.',
  peer_up: 'Another daemon is present. Its run.',
  peer_down: 'Another daemon is no longer present. Its status.',
  register_failed: 'The register of daemons could not be read or written. Cause.',
  daemon_started: 'This daemon listens. Zone, addresses.',
  daemon_draining: 'An operator asked this daemon to drain.',
  daemon_stopping: 'A planned stop began. Requests in progress.',
  daemon_stopped: 'A planned stop ended. Requests still in progress, time taken.',
  start_failed: 'The daemon could not start. Cause.',
  reload_requested: 'The settings file has changed.',
  coordinator_started:
    'Own interface: this daemon coordinates a zone. Fence, whether its records are complete.',
  coordinator_stopped: 'Own interface: it no longer does. Fence.',
  coordinator_recovered: 'Own interface: it knows what the workers hold. Their number.',
  worker_state_changed: 'Own interface: the machine list tells another state. Worker, state.',
  worker_gone: 'Own interface: a worker left the machine list.',
  replica_loading: 'Own interface: a load was ordered. Model, worker, source of the weights.',
  replica_unloading: 'Own interface: an unload was ordered. Model, worker, reason.',
  checkpoint_warming: 'Own interface: a checkpoint is brought near. Model, worker.',
  call_failed:
    'Calls to other daemons failed, which the next step makes up for: one line a second and kind. Kind, the daemon called last, cause, failures since the line before.',
  task_failed: 'A task in the background threw. Its name, cause.',
  log_lines_dropped: 'Lines were left out in the last second. Their number by class.',
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
