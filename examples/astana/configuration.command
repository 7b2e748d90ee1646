change {
  put tenant minutes max_in_flight 256;
  put node proxy-esil-a zone esil-a tenants (minutes);
  put node proxy-esil-b zone esil-b tenants (minutes);
  put node proxy-saryarka-a zone saryarka-a tenants (minutes);
  put node proxy-saryarka-b zone saryarka-b tenants (minutes);
  put secret minutes/registry-key value "replace-this-value";
  put service minutes/registry {
    endpoint registry-1 at 127.0.0.1:19001 zone esil-a slots 6 connections 130;
    endpoint registry-2 at 127.0.0.1:19002 zone esil-b slots 6 connections 130;
    endpoint registry-3 at 127.0.0.1:19003 zone saryarka-a slots 6 connections 130;
    endpoint registry-4 at 127.0.0.1:19004 zone saryarka-b slots 6 connections 130;
    endpoint registry-5 at 127.0.0.1:19005 zone esil-a slots 6 connections 130;
    endpoint registry-6 at 127.0.0.1:19006 zone esil-b slots 6 connections 130;
    endpoint registry-7 at 127.0.0.1:19007 zone saryarka-a slots 6 connections 130;
  };
  put service minutes/archive {
    endpoint archive-1 at 127.0.0.1:19101 zone esil-a slots 6 connections 130;
    endpoint archive-2 at 127.0.0.1:19102 zone esil-b slots 6 connections 130;
    endpoint archive-3 at 127.0.0.1:19103 zone saryarka-a slots 6 connections 130;
    endpoint archive-4 at 127.0.0.1:19104 zone saryarka-b slots 6 connections 130;
    endpoint archive-5 at 127.0.0.1:19105 zone esil-a slots 6 connections 130;
  };
  put route minutes/search path /search method GET to registry class interactive timeout 2s repeatable retries 2;
  put route minutes/certifications path /certifications method POST to registry secret registry-key class commit timeout 3s retries 0;
  put route minutes/transcripts path /transcripts method GET to archive class leisure timeout 2s repeatable retries 2;
  put route minutes/recordings path /recordings method POST to archive class bulk timeout 4s retries 0;
}
