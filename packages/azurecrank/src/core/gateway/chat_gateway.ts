/** Handles the OpenAI-compatible routes for chat completions and models. */
import {refuse, type HealthServer} from '@azurecrank/core';
import {Generation} from '../generation/generation.js';
import type {
  GenerationDependencies,
  GenerationRequest,
  GenerationSink,
} from '../generation/generation_types.js';
import type {GenerationTable} from '../generation/generation_table.js';
import type {
  Caller,
  CallerDirectory,
  ModelService,
} from './caller_directory.js';
import {parseChatRequest, type ChatRequest} from './chat_request.js';
import {
  StreamingChatSink,
  BufferedChatSink,
  createChatMetadata,
} from './chat_response.js';
import type {Exchange} from './exchange.js';
import type {RefusalSender} from './refusal_sender.js';
import type {RequestGate} from './request_gate.js';
import type {ServiceLimits} from './request_headers.js';

export interface ChatGatewayOptions {
  readonly gate: RequestGate;
  readonly refusals: RefusalSender;
  readonly directory: CallerDirectory;
  readonly generations: GenerationTable;
  readonly generationDependencies: GenerationDependencies;
}

export class ChatGateway {
  constructor(private readonly options: ChatGatewayOptions) {}

  addRoutes(server: HealthServer): void {
    const {gate} = this.options;
    server.addReadRoute('/v1/models', (req, res) =>
      gate.handle(req, res, exchange => this.listModels(exchange)),
    );
    server.addReadRoute('/v1/models/:id', (req, res) => {
      const id = decodeModelId(String(req.params.id));
      gate.handle(req, res, exchange => this.showModel(exchange, id));
    });
    server.app.post('/v1/chat/completions', (req, res) =>
      gate.handle(req, res, exchange => this.handleChat(exchange)),
    );
  }

  private listModels(exchange: Exchange): void {
    const caller = this.options.gate.authenticate(exchange);
    if (!caller) return;
    const {directory} = this.options;
    const data = directory
      .modelServices()
      .filter(({service}) => directory.mayUse(caller, service))
      .map(toModelObject);
    sendJson(exchange, {object: 'list', data});
  }

  private showModel(exchange: Exchange, id: string): void {
    const caller = this.options.gate.authenticate(exchange);
    const service = caller && this.findService(exchange, caller, id);
    if (service) sendJson(exchange, toModelObject(service));
  }

  private async handleChat(exchange: Exchange): Promise<void> {
    const {gate} = this.options;
    const caller = gate.authenticate(exchange);
    if (!caller || !gate.admit(exchange, 'chat')) return;
    const body = await gate.readBody(exchange);
    if (!body) return;
    const parsed = parseChatRequest(body);
    if (parsed.kind === 'invalid') {
      return gate.refuse(exchange, 'invalid_request', {detail: parsed.detail});
    }
    const {chat} = parsed;
    const service = this.findService(exchange, caller, chat.service);
    const limits = service && gate.readHeaders(exchange, service);
    if (limits) this.generate(exchange, caller, {...service, ...limits}, chat);
  }

  /** Returns a model service the caller may use, or answers with a refusal. */
  private findService(
    exchange: Exchange,
    caller: Caller,
    name: string,
  ): ModelService | undefined {
    const {gate, directory} = this.options;
    const service = directory.findModelService(name);
    if (!service) {
      const detail = `no service named ${name}`;
      gate.refuse(exchange, 'unknown_model', {detail});
      return undefined;
    }
    exchange.service = service.service;
    if (directory.mayUse(caller, service.service)) return service;
    gate.refuse(exchange, 'forbidden_service');
    return undefined;
  }

  private generate(
    exchange: Exchange,
    caller: Caller,
    service: ModelService & ServiceLimits,
    chat: ChatRequest,
  ): void {
    const {generations, refusals} = this.options;
    const {request, res} = exchange;
    const onEnded = () => generations.remove(request);
    const spec = toGenerationRequest(exchange, caller, service, chat);
    const sink = this.createSink(exchange, chat, onEnded);
    const generation = new Generation(
      spec,
      sink,
      this.options.generationDependencies,
    );
    generations.add(generation);
    const onCallerLeft = () => {
      if (generation.isEnded) return;
      refusals.record(
        exchange,
        refuse('caller_left', 'respond', {ran: 'unknown'}),
      );
      generation.cancel();
      onEnded();
    };
    res.once('close', onCallerLeft);
    // The caller may have disconnected while the body was read.
    if (res.destroyed) return onCallerLeft();
    generation.start();
  }

  private createSink(
    exchange: Exchange,
    chat: ChatRequest,
    onEnded: () => void,
  ): GenerationSink {
    const {refusals} = this.options;
    const {service, isStreaming, includesUsage} = chat;
    const metadata = createChatMetadata(exchange.request, service);
    return isStreaming
      ? new StreamingChatSink(
          exchange,
          metadata,
          includesUsage,
          refusals,
          onEnded,
        )
      : new BufferedChatSink(exchange, metadata, refusals, onEnded);
  }
}

function toGenerationRequest(
  {request}: Exchange,
  {workspace, weight}: Caller,
  service: ModelService,
  {prompt, maxTokens}: ChatRequest,
): GenerationRequest {
  const nowMs = performance.now();
  const {deadlineMs, firstTokenDeadlineMs} = service;
  return {
    request,
    workspace,
    weight,
    rank: service.rank,
    service: service.service,
    model: service.model,
    prompt,
    maxTokens,
    deadlineAtMs: nowMs + deadlineMs,
    firstTokenDeadlineAtMs: nowMs + Math.min(firstTokenDeadlineMs, deadlineMs),
  };
}

function toModelObject({service}: ModelService) {
  return {id: service, object: 'model', created: 0, owned_by: 'azurecrank'};
}

function sendJson({res}: Exchange, body: object): void {
  res.setHeader('content-type', 'application/json');
  res.end(JSON.stringify(body));
}

/** Returns the text itself if an escape is malformed: no model has that id. */
function decodeModelId(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
