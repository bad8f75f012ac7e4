/** Derives the model, priority class and allowed wait of a caller's request from the deployment plan. */
import type { PriorityClass } from '@woodbarrow/configuration';
import type { DeploymentPlan } from '../scenario/expand-scenario.js';
import type { CallerRequest } from './caller.js';

/** Suffix of an adapter's name; the part before it is the name of the base model. */
const ADAPTER_SUFFIX = /-adapter-\d+$/;

/** Returns the id `<tenant>/<name>` of the model that a request runs on; for an adapter, the base model. */
export function modelIdOf(request: CallerRequest): string {
  return `${request.tenant}/${request.model.replace(ADAPTER_SUFFIX, '')}`;
}

/** Returns the priority class that a request names, or its tenant's default. */
export function priorityClassOf(request: CallerRequest, plan: DeploymentPlan): PriorityClass | undefined {
  const parameters = plan.tenants.find((tenant) => tenant.name === request.tenant)?.parameters;
  const name = request.priorityClass ?? parameters?.defaultClass;
  return parameters?.priorityClasses.find((candidate) => candidate.name === name);
}

/** Returns the allowed wait in milliseconds: that of the request, or the default of its class. */
export function allowedWaitOf(request: CallerRequest, plan: DeploymentPlan): number {
  return request.waitMs ?? (priorityClassOf(request, plan)?.defaultWaitSeconds ?? 0) * 1000;
}

/** Returns whether a request may be deferred until shortly before its deadline. */
export function isDeferrable(request: CallerRequest, plan: DeploymentPlan): boolean {
  return priorityClassOf(request, plan)?.deferrable === true;
}
