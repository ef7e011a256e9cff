#pragma once

#include "masticpin/admission/admission_controller.h"

namespace masticpin {

/// Interface of the admission control that an OverloadSimulation uses.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;

  virtual void Offer(AdmissionRequest& request) = 0;
  /// Returns true if the request was waiting and has been removed.
  virtual bool Withdraw(AdmissionRequest& request) = 0;
  virtual void Complete(AdmissionRequest& request, Completion completion, Duration time) = 0;
};

/// The admission control of masticpin.
class ControlledAdmission : public AdmissionPolicy {
 public:
  ControlledAdmission(const AdmissionSettings& settings,
                      const Clock& clock,
                      TimerService& timers,
                      RandomSource& random)
      : controller(settings, clock, timers, random) {}

  void Offer(AdmissionRequest& request) override { this->controller.Offer(request); }
  bool Withdraw(AdmissionRequest& request) override { return this->controller.Withdraw(request); }
  void Complete(AdmissionRequest& request, Completion completion, Duration time) override {
    this->controller.Complete(request, completion, time);
  }

  AdmissionController& Controller() { return this->controller; }

 private:
  AdmissionController controller;
};

}  // namespace masticpin
