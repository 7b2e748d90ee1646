change {
  put tenant wspolnota max_in_flight 256;
  put node proxy-krk-a zone krk-a tenants (wspolnota);
  put node proxy-krk-b zone krk-b tenants (wspolnota);
  put node proxy-krk-c zone krk-c tenants (wspolnota);
  put node proxy-krk-d zone krk-d tenants (wspolnota);
  put secret wspolnota/desk-key value "replace-this-value";
  put service wspolnota/editor-desk {
    endpoint editor-desk-1 at 127.0.0.1:9001 zone krk-a slots 6 connections 130;
    endpoint editor-desk-2 at 127.0.0.1:9002 zone krk-b slots 6 connections 130;
    endpoint editor-desk-3 at 127.0.0.1:9003 zone krk-c slots 6 connections 130;
    endpoint editor-desk-4 at 127.0.0.1:9004 zone krk-d slots 6 connections 130;
    endpoint editor-desk-5 at 127.0.0.1:9005 zone krk-a slots 6 connections 130;
    endpoint editor-desk-6 at 127.0.0.1:9006 zone krk-b slots 6 connections 130;
    endpoint editor-desk-7 at 127.0.0.1:9007 zone krk-c slots 6 connections 130;
  };
  put service wspolnota/render-vault {
    endpoint render-vault-1 at 127.0.0.1:9101 zone krk-a slots 6 connections 130;
    endpoint render-vault-2 at 127.0.0.1:9102 zone krk-b slots 6 connections 130;
    endpoint render-vault-3 at 127.0.0.1:9103 zone krk-c slots 6 connections 130;
    endpoint render-vault-4 at 127.0.0.1:9104 zone krk-d slots 6 connections 130;
    endpoint render-vault-5 at 127.0.0.1:9105 zone krk-a slots 6 connections 130;
  };
  put route wspolnota/cues path /cues method GET to editor-desk class interactive timeout 2s repeatable retries 2;
  put route wspolnota/commits path /commits method POST to editor-desk secret desk-key class commit timeout 3s retries 0;
  put route wspolnota/invoices path /invoices method POST to editor-desk secret desk-key class commit timeout 3s retries 0;
  put route wspolnota/tracks path /tracks method GET to render-vault class leisure timeout 2s repeatable retries 2;
  put route wspolnota/masters path /masters method POST to render-vault class bulk timeout 4s retries 0;
}
