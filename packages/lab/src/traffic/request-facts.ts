/** What a deployment's plan says of a caller's request: the model behind its name, its class, its allowed wait. */
import type { PriorityClass } from '@woodbarrow/configuration';
import type { DeploymentPlan } from '../scenario/expand-scenario.js';
import type { CallerRequest } from './caller.js';

/** End of an adapter's name; what stands before it is the base model's. */
const ADAPTER_SUFFIX = /-adapter-\d+$/;

/** Id of the model that a request runs on, `<tenant>/<name>`; for an adapter, its base model's. */
export function modelIdOf(request: CallerRequest): string {
  return `${request.tenant}/${request.model.replace(ADAPTER_SUFFIX, '')}`;
}

/** The class that a request names, or its tenant's default. */
export function priorityClassOf(request: CallerRequest, plan: DeploymentPlan): PriorityClass | undefined {
  const parameters = plan.tenants.find((tenant) => tenant.name === request.tenant)?.parameters;
  const name = request.priorityClass ?? parameters?.defaultClass;
  return parameters?.priorityClasses.find((candidate) => candidate.name === name);
}

/** Allowed wait in milliseconds: the request's own, or its class's default. */
export function allowedWaitOf(request: CallerRequest, plan: DeploymentPlan): number {
  return request.waitMs ?? (priorityClassOf(request, plan)?.defaultWaitSeconds ?? 0) * 1000;
}

/** Whether a request may be put off until its deadline is near. */
export function isDeferrable(request: CallerRequest, plan: DeploymentPlan): boolean {
  return priorityClassOf(request, plan)?.deferrable === true;
}
