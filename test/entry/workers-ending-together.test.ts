import {testWorkersEndingTogether} from '../fixtures/workers-ending-together.js';

// RECOVER: review/4, where a popular request was refused for ten minutes after the workers of a zone had ended together.
testWorkersEndingTogether(101, 1);
