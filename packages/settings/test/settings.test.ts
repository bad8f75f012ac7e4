import { expect } from 'chai';
import type { WoodbarrowError } from '@woodbarrow/errors';
import { overridesFromEnvironment, parseSettings, settingsJsonSchema } from '../src/index.js';

const VALID = `
deployment: quetzal-norte
id: zona-10-d1
zone: zona-10
listen:
  callers: 127.0.0.1:8080
  operators: 127.0.0.1:8081
  peers: 127.0.0.1:8082
platform:
  objects: http://127.0.0.1:7000
  machines: http://127.0.0.1:7001
`;

function messageOf(action: () => unknown): string {
  try {
    action();
  } catch (error) {
    return (error as WoodbarrowError).message;
  }
  return 'valid';
}

describe('settings', () => {
  it('use defaults for missing fields', () => {
    const settings = parseSettings(VALID);
    expect(settings.region).to.equal('default');
    expect(settings.shutdown.graceSeconds).to.equal(120);
  });

  it('prefer flags to the environment and the environment to the file', () => {
    const environment = overridesFromEnvironment({
      WOODBARROW_ZONE: 'mixco',
      WOODBARROW_ID: 'from-environment',
    });
    const settings = parseSettings(VALID, environment, { id: 'from-flag' });
    expect(settings.zone).to.equal('mixco');
    expect(settings.id).to.equal('from-flag');
  });

  it('report all problems together, each with its path and line', () => {
    const bad =
      VALID.replace('zone: zona-10', 'zone: "Not A Zone"').replace('127.0.0.1:8081', 'here') + 'surplus: 1\n';
    const message = messageOf(() => parseSettings(bad, {}, { 'platform.objects': 'nowhere' }, 'file.yaml'));
    expect(message).to.match(/file\.yaml:4: zone: /);
    expect(message).to.match(/file\.yaml:7: listen\.operators: an address as ip:port/);
    expect(message).to.match(/file\.yaml: platform\.objects: an origin/);
    expect(message).to.match(/surplus/);
  });

  it('report the line of a YAML syntax error', () => {
    expect(messageOf(() => parseSettings('a: [1\nb: 2\n', {}, {}, 'file.yaml'))).to.match(
      /^file\.yaml:\d+: /,
    );
  });

  it('are available as a JSON schema', () => {
    expect(JSON.stringify(settingsJsonSchema())).to.contain('graceSeconds');
  });
});
