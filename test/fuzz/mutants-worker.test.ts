import {PartName} from '@apricotwood/fuzz';
import {testMutants} from '../fixtures/mutant-tests.js';

testMutants(PartName.Worker);
