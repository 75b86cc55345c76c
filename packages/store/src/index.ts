export {
	ListedState, type CommitResult, type HostList, type ListedAddress, type ObjectStore, type Platform, type Row, type RowWrite, type ScanResult, type Table,
} from './platform.js';
export {PlatformError, PlatformFailure} from './error.js';
export {MemoryHostList} from './memory/host-list.js';
export {MemoryObjectStore} from './memory/object-store.js';
export {MemoryTable} from './memory/table.js';
export {createMemoryPlatform} from './memory/platform.js';
export {CircuitBreaker, BreakerState} from './resilience/circuit-breaker.js';
export {ResilientPlatform, type CallCounts, type ResilienceOptions} from './resilience/resilient-platform.js';
export {TokenBucket} from './resilience/token-bucket.js';
export {HttpPlatform} from './http/client.js';
export {PlatformPath} from './http/protocol.js';
