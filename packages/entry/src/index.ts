export type {
	ResponseHeaders, ResponseMetadata, RequestMetadata, HealthCheckResult, Dialect, ReportedLoad, WorkerNotice,
} from './dialect.js';
export {EntryHost, type EntryDeps, type EntrySettings} from './host/host.js';
export {Ingress} from './request/ingress.js';
export {
	MAX_DURATION_MS, addressSchema, countSchema, fingerprintSchema, hostEntrySchema, idSchema, ipSchema, nameSchema, portSchema, slotsSchema,
} from './entry-schemas.js';
export {HostPhase} from './host/phase.js';
export {computeShutdownSchedule, type ShutdownPeriods, type ShutdownSchedule} from './host/shutdown.js';
export {Registration, type RegistrationDeps} from './host/registration.js';
export type {
	CrashHistoryEntry, CrashHistoryKey, CrashHistorySource, HostEntry, OperationsUpdate, RegistrationResult, SteeringSource, WorkersUpdate,
} from './source.js';
export {
	ReplicatedState, type CatchUpResponse, type CatchUpRequest, type StateListener,
} from './state/replicated-state.js';
export type {SyncStatus, PeerSyncStatus} from './state/sync-status.js';
export {MIN_CHECK_INTERVAL_MS} from './state/data-set-poller.js';
export {
	computeOwnReadAgeMs, computeReadDelayMs, createReadSchedule, type ReadSchedule, type ReaderRank,
} from './state/read-schedule.js';
export {
	SourcePoller, type SourcePollerDeps, type SourcePollerOptions,
} from './state/source-poller.js';
export {composeRevision, getEpoch, getVersion} from './state/revision.js';
export {MemberList, type Member} from './peer/members.js';
export {
	decodeHeartbeat, encodeHeartbeat, type Heartbeat, type ObservedHost, type ZoneSummary,
} from './peer/heartbeat-codec.js';
export {
	decodeReport, encodeReport, isReport, ReportKind,
} from './peer/report-codec.js';
export {PeerReports, type ReportTopic} from './peer/reports.js';
export {RateLimitReports, decodeRateLimits, encodeRateLimits} from './peer/rate-limit-reports.js';
export {IsolationReports} from './peer/isolation-reports.js';
export {WorkerFeedback, type AnsweredRequest, type WorkerFeedbackDeps} from './upstream/worker-feedback.js';
export {DrainReports, type DrainReportsDeps} from './peer/drain-reports.js';
export {RejectionCode, type Rejection} from './request/rejection.js';
export {
	RequestForwarder, type ForwardableRequest, type RequestForwarderDeps, type PeerSender,
} from './request/request-forwarder.js';
export {CrashReports, decodeCrashes, encodeCrashes} from './peer/crash-reports.js';
export {TrialReports, decodeTrials, encodeTrials} from './peer/trial-reports.js';
export {HeartbeatService, type HeartbeatServiceDeps} from './peer/heartbeat-service.js';
export type {CatchUpSource} from './peer/state-follower.js';
export {UdpChannel, type Address, type DatagramChannel} from './peer/channel.js';
export {RelaySelector, type Recipients} from './peer/relays.js';
export {RetryDetector} from './request/retry-detector.js';
export {Connection} from './upstream/connection.js';
export {CrashDetector, type CrashDetectorDeps} from './upstream/crash-detector.js';
export {
	ProbeResult, createTcpConnector, probe, type Connector,
} from './upstream/connector.js';
export {Exchange, type ExchangeListener, type ExchangeRequest} from './upstream/exchange.js';
export {
	ExchangeEnd, type ExchangeResult, type ResponseHead, type ResponseSink,
} from './upstream/response.js';
export {ConnectionPool, computeMaxIdleConnections} from './upstream/pool.js';
export {CrashArchive} from './host/crash-archive.js';
export {resetSocket, wasResetAtEnd} from './socket.js';
