export {waitForAbort} from './abort.js';
export {
	SystemClock, sleep, type Clock, type Timer,
} from './clock.js';
export {EventLoopMonitor} from './event-loop-monitor.js';
export {FakeClock} from './fake-clock.js';
export {SystemRandom, jitter, type Random} from './random.js';
export {SeededRandom} from './seeded-random.js';
export {readPendingInput} from './pending-input.js';
