import {testWorkersEndingTogether} from '../fixtures/workers-ending-together.js';

// RECOVER: as in the test of workers that end together once; three times in 10 s.
testWorkersEndingTogether(106, 3);
